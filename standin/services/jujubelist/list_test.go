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

func do(t *testing.T, server *jujubelist.Server, method, path string, body, answer any) int {
	t.Helper()
	status, err := jujubehost.Call(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, body, answer)
	assert.NilError(t, err)
	return status
}

// Guards against a list that shows changes at once, forgets leaving, or keeps rows without heartbeats.
func TestViewLags(t *testing.T) {
	for _, row := range []struct {
		name   string
		ttl    time.Duration
		change func(t *testing.T, server *jujubelist.Server)
		rows   int
		leaves bool
	}{
		{"registered", 0, func(*testing.T, *jujubelist.Server) {}, 1, false},
		{"leaving", 0, func(t *testing.T, server *jujubelist.Server) {
			do(t, server, http.MethodPost, "/v1/endpoints/e/leave", nil, nil)
			do(t, server, http.MethodPut, "/v1/endpoints/e", model.Endpoint{Incarnation: 1}, nil)
		}, 1, true},
		{"deleted", 0, func(t *testing.T, server *jujubelist.Server) {
			do(t, server, http.MethodDelete, "/v1/endpoints/e", nil, nil)
		}, 0, false},
		{"expired", 10 * time.Millisecond, func(*testing.T, *jujubelist.Server) {}, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server, stop, err := jujubelist.Start(t.Context(), jujubelist.Settings{Listen: "127.0.0.1:0", Lag: lag, TTL: row.ttl})
			assert.NilError(t, err)
			t.Cleanup(stop)
			do(t, server, http.MethodPut, "/v1/endpoints/e", model.Endpoint{Incarnation: 1}, nil)
			do(t, server, http.MethodPut, "/v1/entries/i", model.Member{Incarnation: 1}, nil)
			row.change(t, server)
			var list model.InstanceList
			do(t, server, http.MethodGet, "/v1/instances", nil, &list)
			assert.Equal(t, len(list.Endpoints)+len(list.Entries), 0)
			time.Sleep(lag + 50*time.Millisecond)
			do(t, server, http.MethodGet, "/v1/instances", nil, &list)
			assert.Equal(t, len(list.Endpoints), row.rows)
			if row.rows > 0 {
				assert.Equal(t, list.Endpoints[0].Leaving, row.leaves)
				assert.Equal(t, list.Entries[0].State, model.MemberAlive)
			}
		})
	}
}
