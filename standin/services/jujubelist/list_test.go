package jujubelist_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
	"jujubepier.example/standin/services/jujubelist"
)

const lag = 400 * time.Millisecond

func call(t *testing.T, server *jujubelist.Server, method, path string, body, reply any) int {
	t.Helper()
	status, err := jujubehost.CallJSON(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, body, reply)
	assert.NilError(t, err)
	return status
}

// TestViewLags guards against a list that shows changes without the lag, resets Leaving at the next registration, or keeps
// registrations whose heartbeats have stopped.
func TestViewLags(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		ttl       time.Duration
		change    func(t *testing.T, server *jujubelist.Server)
		endpoints int
		leaving   bool
	}{
		{"registered", 0, func(*testing.T, *jujubelist.Server) {}, 1, false},
		{"leaving", 0, func(t *testing.T, server *jujubelist.Server) {
			call(t, server, http.MethodPost, "/v1/endpoints/e/leave", nil, nil)
			call(t, server, http.MethodPut, "/v1/endpoints/e", model.Endpoint{Incarnation: 1}, nil)
		}, 1, true},
		{"deleted", 0, func(t *testing.T, server *jujubelist.Server) {
			call(t, server, http.MethodDelete, "/v1/endpoints/e", nil, nil)
		}, 0, false},
		{"expired", 10 * time.Millisecond, func(*testing.T, *jujubelist.Server) {}, 0, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			server, stop, err := jujubelist.Start(t.Context(), jujubelist.Settings{Listen: "127.0.0.1:0", Lag: lag, TTL: testCase.ttl})
			assert.NilError(t, err)
			t.Cleanup(stop)
			call(t, server, http.MethodPut, "/v1/endpoints/e", model.Endpoint{Incarnation: 1}, nil)
			call(t, server, http.MethodPut, "/v1/entries/i", model.Member{Incarnation: 1}, nil)
			testCase.change(t, server)
			var list model.InstanceList
			call(t, server, http.MethodGet, "/v1/instances", nil, &list)
			assert.Equal(t, len(list.Endpoints)+len(list.Entries), 0)
			time.Sleep(lag + 50*time.Millisecond)
			call(t, server, http.MethodGet, "/v1/instances", nil, &list)
			assert.Equal(t, len(list.Endpoints), testCase.endpoints)
			if testCase.endpoints > 0 {
				assert.Equal(t, list.Endpoints[0].Leaving, testCase.leaving)
				assert.Equal(t, list.Entries[0].State, model.MemberAlive)
			}
		})
	}
}
