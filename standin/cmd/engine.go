package jujubecommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"jujubepier.example/standin/services/jujubeengine"
)

func newEngineCommand() *cli.Command {
	s := jujubeengine.DefaultSettings()
	exitOnCrash := true
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			stringFlag("id", "endpoint ID", &s.ID),
			stringFlag("data-centre", "data centre of the endpoint", &s.DataCentre),
			stringFlag("model", "name of the model", &s.Model),
			stringFlag("software-version", "version of the engine's software", &s.SoftwareVersion),
			intFlag("initial-version", "weight version served after each start", &s.InitialVersion),
			intFlag("slots", "maximum number of concurrently running streams", &s.Slots),
			intFlag("max-waiting", "maximum length of the queue", &s.MaxWaiting),
			floatFlag("tokens-per-second", "generation rate of a stream that runs alone", &s.TokensPerSecond),
			floatFlag("batch-slowdown", "slowdown per additional running stream", &s.BatchSlowdown),
			floatFlag("prefill-tokens-per-second", "rate at which prompts are processed", &s.PrefillTokensPerSecond),
			intFlag("chunk-tokens", "tokens per chunk", &s.ChunkTokens),
			floatFlag("median-tokens", "median of the log-normal output length", &s.MedianTokens),
			floatFlag("sigma-tokens", "sigma of the log-normal output length", &s.SigmaTokens),
			intFlag("cache-prefixes", "number of prefixes in the prefix cache", &s.CachePrefixes),
			durationFlag("cache-event-lag", "delay until a cache event can be read", &s.CacheEventLag),
			floatFlag("cache-event-loss", "fraction of cache events that are lost", &s.CacheEventLoss),
			durationFlag("load-lag", "age of load reports", &s.LoadLag),
			durationFlag("grace", "time for which a stream continues without a connection", &s.Grace),
			durationFlag("keep", "time for which a paused or finished stream is kept without a connection", &s.Keep),
			durationFlag("swap-time", "duration of a weight swap", &s.SwapTime),
			stringFlag("store-url", "URL of the weight store to fetch from; empty for none", &s.StoreURL),
			boolFlag("check-fence", "refuse orders with a stale fencing token or a lower version", &s.CheckFence),
			durationFlag("crash-downtime", "time from a crash to the restart, without exit-on-crash", &s.CrashDowntime),
			boolFlag("exit-on-crash", "end the process at a crash instead of restarting within it", &exitOnCrash),
			floatFlag("time-scale", "factor by which the engine's durations are shortened", &s.TimeScale),
			durationFlag("step", "interval between generation updates", &s.Step),
			stringFlag("list-url", "URL of the instance list to register with; empty for none", &s.ListURL),
			durationFlag("heartbeat", "interval between registrations", &s.Heartbeat),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if exitOnCrash {
				s.OnCrash = crashProcess
			}
			server, stop, err := jujubeengine.Start(ctx, s)
			return serve(ctx, "engine", server, stop, err)
		},
	}
}
