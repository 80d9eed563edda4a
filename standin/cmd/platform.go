package jujubecommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"jujubepier.example/standin/services/jujubelist"
	"jujubepier.example/standin/services/jujubelog"
	"jujubepier.example/standin/services/jujubestore"
)

func newStore() *cli.Command {
	s := jujubestore.DefaultSettings()
	return &cli.Command{
		Name:  "store",
		Usage: "run the weight store",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			intFlag("max-fetches", "fetches that run at once; 0 for no limit", &s.MaxFetches),
			floatFlag("fetches-per-second", "rate of new fetches; 0 for no limit", &s.FetchesPerSecond),
			intFlag("burst", "fetches that may start at once", &s.Burst),
			intFlag("weight-bytes", "size that the time of a fetch is counted for", &s.WeightBytes),
			floatFlag("bytes-per-second", "rate of one fetch; 0 for no delay", &s.BytesPerSecond),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubestore.Start(ctx, s)
			return serve(ctx, "store", server, stop, err)
		},
	}
}

func newLog() *cli.Command {
	s := jujubelog.DefaultSettings()
	return &cli.Command{
		Name:  "log",
		Usage: "run the append-only log",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			intFlag("retain-records", "records kept in each stream; 0 for no bound", &s.RetainRecords),
			durationFlag("retain-age", "time that a record is kept; 0 for ever", &s.RetainAge),
			floatFlag("appends-per-second", "rate of appends; 0 for no limit", &s.AppendsPerSecond),
			intFlag("burst", "appends that may come at once", &s.Burst),
			durationFlag("max-wait", "bound of a long poll", &s.MaxWait),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubelog.Start(ctx, s)
			return serve(ctx, "log", server, stop, err)
		},
	}
}

func newList() *cli.Command {
	s := jujubelist.DefaultSettings()
	return &cli.Command{
		Name:  "list",
		Usage: "run the instance list",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			durationFlag("lag", "age of the view", &s.Lag),
			durationFlag("ttl", "time that a row lives without a heartbeat; 0 for ever", &s.TTL),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubelist.Start(ctx, s)
			return serve(ctx, "list", server, stop, err)
		},
	}
}
