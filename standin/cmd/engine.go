package jujubecommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"jujubepier.example/standin/services/jujubeengine"
)

func newEngine() *cli.Command {
	s := jujubeengine.DefaultSettings()
	exit := true
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			stringFlag("id", "endpoint id", &s.ID),
			stringFlag("data-centre", "data centre of the endpoint", &s.DataCentre),
			stringFlag("model", "name of the model", &s.Model),
			intFlag("initial-version", "weight version after each start", &s.InitialVersion),
			intFlag("slots", "streams that run at once", &s.Slots),
			intFlag("max-waiting", "length of the queue", &s.MaxWaiting),
			floatFlag("tokens-per-second", "rate of a stream that runs alone", &s.TokensPerSecond),
			floatFlag("batch-slowdown", "slowdown for each further running stream", &s.BatchSlowdown),
			floatFlag("prefill-tokens-per-second", "rate at which prompts are read", &s.PrefillTokensPerSecond),
			intFlag("chunk-tokens", "tokens in a chunk", &s.ChunkTokens),
			floatFlag("median-tokens", "median of the output length", &s.MedianTokens),
			floatFlag("sigma-tokens", "sigma of the log-normal output length", &s.SigmaTokens),
			intFlag("cache-prefixes", "size of the prefix cache", &s.CachePrefixes),
			durationFlag("cache-event-lag", "age at which a cache event can be read", &s.CacheEventLag),
			floatFlag("cache-event-loss", "share of cache events that are lost", &s.CacheEventLoss),
			durationFlag("load-lag", "age of load reports", &s.LoadLag),
			durationFlag("grace", "time that a stream goes on without a connection", &s.Grace),
			durationFlag("keep", "time that a stream is held without a connection", &s.Keep),
			durationFlag("swap-time", "time of a weight swap", &s.SwapTime),
			stringFlag("store-url", "weight store to fetch from; empty for none", &s.StoreURL),
			boolFlag("check-fence", "refuse orders with an old fencing number", &s.CheckFence),
			durationFlag("crash-downtime", "time from a crash to the restart, without exit-on-crash", &s.CrashDowntime),
			boolFlag("exit-on-crash", "end the process at a crash instead of restarting within it", &exit),
			floatFlag("time-scale", "factor that speeds up the engine's times", &s.TimeScale),
			durationFlag("step", "interval at which generation advances", &s.Step),
			stringFlag("list-url", "instance list to register at; empty for none", &s.ListURL),
			durationFlag("heartbeat", "interval of registrations", &s.Heartbeat),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if exit {
				s.OnCrash = crash
			}
			server, stop, err := jujubeengine.Start(ctx, s)
			return serve(ctx, "engine", server, stop, err)
		},
	}
}
