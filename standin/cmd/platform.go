package jujubecommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"jujubepier.example/standin/services/jujubelist"
	"jujubepier.example/standin/services/jujubelog"
	"jujubepier.example/standin/services/jujubestore"
)

func newStoreCommand() *cli.Command {
	s := jujubestore.DefaultSettings()
	return &cli.Command{
		Name:  "store",
		Usage: "run the weight store",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			intFlag("max-fetches", "maximum number of concurrent fetches; 0 for no limit", &s.MaxFetches),
			floatFlag("fetches-per-second", "rate limit of new fetches; 0 for no limit", &s.FetchesPerSecond),
			intFlag("burst", "number of fetches that the rate limit allows at once", &s.Burst),
			intFlag("weight-bytes", "minimum size from which the duration of a fetch is computed", &s.WeightBytes),
			floatFlag("bytes-per-second", "transfer rate of one fetch; 0 for no delay", &s.BytesPerSecond),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubestore.Start(ctx, s)
			return serve(ctx, "store", server, stop, err)
		},
	}
}

func newLogCommand() *cli.Command {
	s := jujubelog.DefaultSettings()
	return &cli.Command{
		Name:  "log",
		Usage: "run the append-only log",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			intFlag("retain-records", "maximum number of records kept per stream; 0 for no limit", &s.RetainRecords),
			durationFlag("retain-age", "age at which a record expires; 0 for never", &s.RetainAge),
			floatFlag("appends-per-second", "rate limit of appends; 0 for no limit", &s.AppendsPerSecond),
			intFlag("burst", "number of appends that the rate limit allows at once", &s.Burst),
			durationFlag("max-wait", "maximum duration of a long poll", &s.MaxWait),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubelog.Start(ctx, s)
			return serve(ctx, "log", server, stop, err)
		},
	}
}

func newListCommand() *cli.Command {
	s := jujubelist.DefaultSettings()
	return &cli.Command{
		Name:  "list",
		Usage: "run the instance list",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			durationFlag("lag", "age of the returned list", &s.Lag),
			durationFlag("ttl", "time without a heartbeat after which a registration is removed; 0 for never", &s.TTL),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubelist.Start(ctx, s)
			return serve(ctx, "list", server, stop, err)
		},
	}
}
