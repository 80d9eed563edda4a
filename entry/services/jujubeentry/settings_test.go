package jujubeentry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubesetting"
	"jujubepier.example/entry/services/jujubeentry"
)

// TestSettingsCheck guards against an instance that announces an address to which callers and other instances can't connect.
func TestSettingsCheck(t *testing.T) {
	for _, test := range []struct {
		caller, peer string
		keys         []string
	}{
		{"10.0.0.1:7080", "10.0.0.1:7081", nil},
		{"127.0.0.1:0", "[fd00::1]:7081", nil},
		{"localhost:7080", "10.0.0.1:7081", []string{"CallerAddress"}},
		{"10.0.0.1:7080", ":7081", []string{"PeerAddress"}},
		{"0.0.0.0:7080", "[::]:7081", []string{"CallerAddress", "PeerAddress"}},
	} {
		settings := jujubeentry.DefaultSettings()
		settings.CallerAddress, settings.PeerAddress = test.caller, test.peer
		problems, _ := jujubesetting.IsErrSetting(settings.Check())
		var keys []string
		for _, problem := range problems {
			keys = append(keys, problem.Key)
		}
		assert.DeepEqual(t, keys, test.keys)
	}
}
