package jujubecommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"jujubepier.example/standin/services/jujubescorer"
	"jujubepier.example/standin/services/jujubeservice"
)

func newScorerCommand() *cli.Command {
	s := jujubescorer.DefaultSettings()
	return &cli.Command{
		Name:  "scorer",
		Usage: "run a service that scores samples",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			stringFlag("id", "endpoint ID", &s.ID),
			stringFlag("data-centre", "data centre of the endpoint", &s.DataCentre),
			stringFlag("service", "name of the service", &s.Service),
			durationFlag("latency", "duration of one scoring call", &s.Latency),
			stringFlag("list-url", "URL of the instance list to register with; empty for none", &s.ListURL),
			durationFlag("heartbeat", "interval between registrations", &s.Heartbeat),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			server, stop, err := jujubescorer.Start(ctx, s)
			return serve(ctx, "scorer", server, stop, err)
		},
	}
}

func newServiceCommand() *cli.Command {
	s := jujubeservice.DefaultSettings()
	exitOnCrash := true
	return &cli.Command{
		Name:  "service",
		Usage: "run one server of a plain service",
		Flags: []cli.Flag{
			stringFlag("listen", "host:port to listen on", &s.Listen),
			stringFlag("id", "endpoint ID", &s.ID),
			stringFlag("data-centre", "data centre of the endpoint", &s.DataCentre),
			stringFlag("service", "name of the service", &s.Service),
			durationFlag("latency", "duration of one call", &s.Latency),
			durationFlag("crash-downtime", "time from a crash to the restart, without exit-on-crash", &s.CrashDowntime),
			boolFlag("exit-on-crash", "end the process at a crash instead of restarting within it", &exitOnCrash),
			stringFlag("list-url", "URL of the instance list to register with; empty for none", &s.ListURL),
			durationFlag("heartbeat", "interval between registrations", &s.Heartbeat),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if exitOnCrash {
				s.OnCrash = crashProcess
			}
			server, stop, err := jujubeservice.Start(ctx, s)
			return serve(ctx, "service", server, stop, err)
		},
	}
}
