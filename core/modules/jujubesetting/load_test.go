package jujubesetting_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubesetting"
)

type settings struct {
	CallerAddress string `validate:"required"`
	Seeds         []string
	Poll          time.Duration `default:"30s" validate:"min=1s"`
	Log           struct {
		Level string `default:"info" validate:"oneof=debug info warn"`
	}
	PeerHTTPTimeout model.Duration `default:"2s"`
}

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// TestLoadOrder guards against a source that overrides another one with higher precedence.
func TestLoadOrder(t *testing.T) {
	file := writeFile(t, "CallerAddress: 127.0.0.1:1\nSeeds: [a, b]\nPoll: 5s\nLog:\n  Level: debug\n")
	t.Setenv("JUJUBE_TEST_POLL", "6s")
	t.Setenv("JUJUBE_TEST_LOG_LEVEL", "warn")
	t.Setenv("JUJUBE_TEST_PEER_HTTP_TIMEOUT", "3s")
	loaded := settings{CallerAddress: "unused"}
	command := &cli.Command{Flags: jujubesetting.Flags[settings](), Action: func(_ context.Context, command *cli.Command) error {
		return jujubesetting.LoadCommand(command, "JUJUBE_TEST", &loaded)
	}}
	assert.NilError(t, command.Run(t.Context(), []string{"x", "--settings", file, "--poll", "7s", "--seeds", "c", "--seeds", "d"}))
	want := settings{CallerAddress: "127.0.0.1:1", Seeds: []string{"c", "d"}, Poll: 7 * time.Second, PeerHTTPTimeout: model.Duration(3 * time.Second)}
	want.Log.Level = "warn"
	assert.DeepEqual(t, loaded, want)
}

// TestLoadRefuses guards against an invalid setting that is accepted, or reported without its source and position.
func TestLoadRefuses(t *testing.T) {
	for _, test := range []struct{ name, text, variable, value, want string }{
		{"unknown key", "CallerAddress: a\nPol: 1s\n", "", "", "s.yaml:2:1: Pol: unknown key; known are CallerAddress"},
		{"no unit", "CallerAddress: a\nPoll: 5\n", "", "", `s.yaml:2:7: Poll: "5" must be a duration with a unit`},
		{"rule", "CallerAddress: a\nPoll: 5ms\n", "", "", "s.yaml:2:1: Poll: 5ms is below the minimum, 1s"},
		{"missing", "Poll: 5s\n", "", "", "default: CallerAddress: is required"},
		{"unknown variable", "CallerAddress: a\n", "JUJUBE_TEST_POL", "1s", "JUJUBE_TEST_POL: no key corresponds"},
		{"rule on variable", "CallerAddress: a\n", "JUJUBE_TEST_POLL", "1ms", "JUJUBE_TEST_POLL: Poll: 1ms is below"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.variable != "" {
				t.Setenv(test.variable, test.value)
			}
			err := jujubesetting.Load(writeFile(t, test.text), "JUJUBE_TEST", &settings{})
			assert.ErrorContains(t, err, test.want)
			problems, ok := jujubesetting.IsErrSetting(err)
			assert.Assert(t, ok)
			assert.Equal(t, len(problems), 1, strings.ReplaceAll(err.Error(), "\n", "; "))
		})
	}
}
