package jujubeprompt_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that failures are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.nofailfile": "true", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
