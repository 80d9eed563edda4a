package jujuberouter_test

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeprompt"
	router "jujubepier.example/core/services/jujuberouter"
)

// TestKeptPromptAttracts checks that a request goes to the endpoint that keeps its prompt while both are idle, and to the other one if
// the first runs a request, which costs more time than the prompt saves, or has lost the prompt. Without it, requests would wait for
// kept prompts.
func TestKeptPromptAttracts(t *testing.T) {
	prompt := jujubeprompt.Prompt{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 16}}
	for _, test := range []struct {
		name   string
		change func(r *router.Router[router.LeastExpectedWait], keeper model.EndpointID)
		stays  bool
	}{
		{"idle", func(*router.Router[router.LeastExpectedWait], model.EndpointID) {}, true},
		{"busy", func(r *router.Router[router.LeastExpectedWait], keeper model.EndpointID) {
			r.ReportLoad(start, model.LoadReport{Endpoint: keeper, At: start.Add(time.Millisecond), Running: 1, Slots: 8, Version: 1})
		}, false},
	} {
		for seed := range int64(8) {
			r := router.New(router.LeastExpectedWait{}, router.Settings{Instance: "a"}, rand.New(rand.NewSource(seed)))
			for _, id := range []model.EndpointID{"e0", "e1"} {
				r.PutEndpoint(start, model.Endpoint{ID: id, Kind: model.KindEngine, Model: "m"})
				r.ReportLoad(start, model.LoadReport{Endpoint: id, At: start, Slots: 8, Version: 1})
			}
			request := router.Request{ID: "first", Kind: model.KindEngine, Model: "m", Prompt: prompt}
			keeper := r.Route(start, request)
			r.Finish(start, "first", router.Outcome{OK: true})
			test.change(r, keeper.Endpoint)
			request.ID = "second"
			second := r.Route(start.Add(2*time.Millisecond), request)
			assert.Equal(t, second.Endpoint == keeper.Endpoint, test.stays, test.name)
			assert.Equal(t, second.CachedPrefix, test.stays, test.name)
			r.DropPrompts(start.Add(time.Hour), keeper.Endpoint)
			request.ID, request.Only = "third", []model.EndpointID{keeper.Endpoint}
			assert.Assert(t, !r.Route(start.Add(3*time.Millisecond), request).CachedPrefix)
		}
	}
}
