package jujubeprompt_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubeprompt"
)

// TestPolicies compares the least cost with today's placement by load and with two other baselines, over the same requests. It guards
// against kept prompts that save no prefill, and against groups that end later because of them.
func TestPolicies(t *testing.T) {
	const capacity = 64_899
	uneven := scenario{servers: 12, capacity: capacity, busy: 4, groups: 13, groupSize: 8, waves: 2, wavePeriod: 4 * time.Second}
	groups16 := uneven
	groups16.groupSize, groups16.groups = 16, 6
	slots := uneven
	slots.isUneven = true
	hinted := uneven
	hinted.isHinted = true
	burst := scenario{servers: 12, capacity: capacity, groups: 40, groupSize: 8, waves: 1, wavePeriod: 4 * time.Second}
	light := uneven
	light.groups, light.busy = 4, 2
	full := uneven
	full.capacity = 14_000
	stale := uneven
	stale.onMs = func(ms int, servers []*simServer) {
		if ms%10 == 0 { // requests of another instance
			servers[ms/10%len(servers)].use(jujubeprompt.Prompt{{ID: jujubeprompt.PartID(1e9 + ms), Tokens: 4000}})
		}
	}
	restarted := uneven
	restarted.onMs = func(ms int, servers []*simServer) {
		switch ms {
		case 3900:
			servers[0].parts = nil
		case 4300: // the requests of the second wave have been sent by then
			servers[0].estimate.Reset()
		}
	}
	loaded := uneven
	loaded.onMs = func(ms int, servers []*simServer) {
		if ms == 3900 {
			for _, server := range servers {
				server.parts = nil
				server.estimate.SetVersion("m", 2)
			}
		}
	}
	for _, test := range []struct {
		name string
		scenario
	}{
		{"groups of 8", uneven},
		{"groups of 16", groups16},
		{"uneven slots", slots},
		{"known lengths", hinted},
		{"burst", burst},
		{"light load", light},
		{"full memory", full},
		{"stale knowledge", stale},
		{"a restart", restarted},
		{"weights loaded", loaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			cost, load := simulate(jujubeprompt.LeastCost{}, test.scenario), simulate(jujubeprompt.LoadShare{}, test.scenario)
			wait, prefix := simulate(jujubeprompt.LeastWait{}, test.scenario), simulate(jujubeprompt.LongestPrefix{}, test.scenario)
			for i, f := range []figures{cost, load, wait, prefix} {
				name := []string{"LeastCost", "LoadShare", "LeastWait", "LongestPrefix"}[i]
				t.Logf("%-13s prefilled %6d tokens, groups end after %.1f ms on average, %.1f ms at the latest", name, f.prefilled, f.mean.Seconds()*1000, f.longest.Seconds()*1000)
			}
			assert.Assert(t, cost.prefilled < load.prefilled*9/10 && cost.prefilled < wait.prefilled*9/10)
			assert.Assert(t, cost.mean < load.mean && cost.mean < wait.mean)
			// The longest group depends on chance: over 40 seeds its figure differs by up to 2% between policies that place alike.
			assert.Assert(t, cost.longest < load.longest*102/100)
			if test.name == "light load" {
				assert.Assert(t, prefix.prefilled < cost.prefilled && prefix.mean > cost.mean*102/100, "the longest prefix isn't worth any wait")
			}
		})
	}
}
