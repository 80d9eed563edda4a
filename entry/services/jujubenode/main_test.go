package jujubenode_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that failures are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
