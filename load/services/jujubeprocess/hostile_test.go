package jujubeprocess_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubecrowd"
)

const (
	// hostileClients, hostileTime and the limits were chosen on the program without a guard, where the test fails.
	hostileClients     = 200
	hostileTime        = 1500 * time.Millisecond
	hostileMemory      = 96
	hostileDescriptors = 160
)

// TestHostileClients guards against clients that end an entry instance or take more than its memory and descriptors, on all
// of its listeners: heads, bodies and messages that don't end, connections that are idle, and responses that aren't read.
func TestHostileClients(t *testing.T) {
	s := startSite(t, siteConfig{services: 1, entries: 0, entryFlags: []string{
		"--max-body-bytes", "1048576", "--max-buffered-bytes", "16777216", "--max-held-bytes", "25165824", "--max-connections", "64",
		"--max-peer-connections", "64",
	}})
	path := "/v1/services/" + serviceName + "/records"
	get := "/v1/services/" + serviceName + "/entries"
	heads, bodies := jujubecrowd.HeadForms(http.MethodPost, path, "entry"), jujubecrowd.BodyForms(path, "entry")
	operators, connections := jujubecrowd.HeadForms(http.MethodGet, "/readyz", "entry"), jujubecrowd.ConnectionForms(http.MethodGet, get, "entry")
	for _, listener := range []struct {
		name    string
		address func(*entry) string
		forms   []jujubecrowd.Form
	}{
		{"callers", func(e *entry) string { return e.callerAddress }, heads},
		{"callers", func(e *entry) string { return e.callerAddress }, bodies},
		{"callers", func(e *entry) string { return e.callerAddress }, jujubecrowd.ReaderForms(get, "entry")},
		{"callers", func(e *entry) string { return e.callerAddress }, connections},
		{"operators", func(e *entry) string { return e.operatorAddress }, operators[:3]},
		{"operators", func(e *entry) string { return e.operatorAddress }, jujubecrowd.BodyForms("/v1/drain", "entry")[:1]},
		{"operators", func(e *entry) string { return e.operatorAddress }, jujubecrowd.ConnectionForms(http.MethodGet, "/readyz", "entry")[:3]},
		{"peers", func(e *entry) string { return e.peerAddress }, jujubecrowd.PeerForms()},
	} {
		for _, form := range listener.forms {
			t.Run(listener.name+"/"+form.Name, func(t *testing.T) {
				release, err := jujubecrowd.Exclusive()
				assert.NilError(t, err)
				defer release()
				e := s.startEntry(t, 0)
				isAnswered := func() bool {
					assert.Assert(t, !e.hasExited(), "%s", e.log.tail())
					return s.callJSON(http.MethodGet, "http://"+e.callerAddress+get, nil, nil) == nil
				}
				eventually(t, "the instance serves", isAnswered)
				stop := jujubecrowd.Watch(e.command.Process.Pid)
				opened := jujubecrowd.Crowd{Address: listener.address(e), Form: form, Clients: hostileClients, Hold: hostileTime}.Run(t.Context())
				eventually(t, "an ordinary request is answered", isAnswered)
				peak := stop()
				t.Logf("%d connections, %d MB, %d descriptors", opened, peak.ResidentMegabytes, peak.Descriptors)
				assert.Check(t, opened > 0)
				assert.Check(t, peak.ResidentMegabytes <= hostileMemory, "%d MB", peak.ResidentMegabytes)
				assert.Check(t, peak.Descriptors <= hostileDescriptors, "%d descriptors", peak.Descriptors)
				assert.Check(t, !e.hasExited() && !strings.Contains(e.log.String(), "panic"), "%s", e.log.tail())
				e.signal(t, syscall.SIGKILL)
			})
		}
	}
}
