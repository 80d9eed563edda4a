package jujubecore_test

import (
	"fmt"
	"testing"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	core "jujubepier.example/core/services/jujubecore"
)

// newLoadedCore returns a Core with the given numbers of endpoints, requests and members; 370 members are the Core's own instance
// and 369 others. Requests beyond the capacity of the endpoints are queued.
func newLoadedCore(b *testing.B, endpoints, inFlight, members int) (*core.Core, time.Time) {
	b.Helper()
	now := time.Unix(1767225600, 0)
	c, err := core.New(core.DefaultOptions(model.Member{ID: "entry-000", Incarnation: 1, PeerAddress: "entry-000", State: model.MemberAlive}))
	if err != nil {
		b.Fatal(err)
	}
	var list model.InstanceList
	for i := range endpoints {
		id := model.EndpointID(fmt.Sprintf("e%03d", i))
		list.Endpoints = append(list.Endpoints, model.Endpoint{ID: id, Kind: model.KindEngine, Address: string(id), Incarnation: 1, Model: "llm"})
	}
	for i := range members {
		id := fmt.Sprintf("entry-%03d", i)
		list.Entries = append(list.Entries, model.Member{ID: model.InstanceID(id), Incarnation: 1, PeerAddress: id, State: model.MemberAlive})
	}
	c.Apply(now, core.InstancesListed{List: list})
	for _, e := range list.Endpoints {
		c.Apply(now, core.LoadReported{Report: model.LoadReport{Endpoint: e.ID, Incarnation: 1, At: now, Slots: 256, TokensPerSecond: 50, Model: "llm", Version: 10}})
	}
	for i := range inFlight {
		c.Apply(now, arrival(now, i, model.Fingerprint(i)))
	}
	return c, now
}

func arrival(now time.Time, i int, f model.Fingerprint) core.RequestArrived {
	return core.RequestArrived{
		ID: model.RequestID(fmt.Sprintf("r%07d", i)), Kind: model.KindEngine, Model: "llm", Deadline: now.Add(time.Hour), Tokens: 100, Fingerprint: f,
	}
}

// BenchmarkTick measures a tick and the responses of peers that have no gossip updates.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{10, 100, 600} {
		for _, inFlight := range []int{0, 1000} {
			for _, members := range []int{1, 370} {
				b.Run(fmt.Sprintf("endpoints=%d/requests=%d/members=%d", endpoints, inFlight, members), func(b *testing.B) {
					c, now := newLoadedCore(b, endpoints, inFlight, members)
					b.ReportAllocs()
					for b.Loop() {
						now = now.Add(core.TickInterval)
						for _, action := range c.Tick(now) {
							if send, ok := action.(core.SendPeer); ok {
								c.Apply(now, core.PeerAnswered{Message: model.PeerMessage{From: send.To, Incarnation: 1}})
							}
						}
					}
				})
			}
		}
	}
}

// BenchmarkRequest measures the arrival and the end of a request. With content "new", a copy of the request runs and none has
// completed yet, as for all samples of a group but the first.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{10, 100, 600} {
		for _, content := range []string{"completed", "new"} {
			b.Run(fmt.Sprintf("endpoints=%d/content=%s", endpoints, content), func(b *testing.B) {
				c, now := newLoadedCore(b, endpoints, 1000, 1)
				f := model.Fingerprint(1)
				if content == "completed" {
					c.Apply(now, core.RequestEnded{ID: "r0000001", OK: true})
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					request := arrival(now, 1000+i, f)
					c.Apply(now, request)
					c.Apply(now, core.RequestEnded{ID: request.ID, OK: content == "completed"})
				}
			})
		}
	}
}

// BenchmarkStreams measures a tick that starts the streams of a step part and cancels those of the attempt that it replaces.
func BenchmarkStreams(b *testing.B) {
	for _, endpoints := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("endpoints=%d/streams=128", endpoints), func(b *testing.B) {
			c, now := newLoadedCore(b, endpoints, 0, 1)
			body := fmt.Sprintf(`{"Change":{"ID":"c","Document":%q}}`, fmt.Sprintf(document, 4096))
			c.Apply(now, core.ConfigRead{Read: model.LogRead{Records: []model.LogRecord{{At: now, Body: []byte(body)}}, Next: 1}})
			part := model.StepPart{Key: model.PartKey{Trainer: "grading", Step: 1}, Version: 10, MaxTokens: 64, Timeout: model.Duration(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(core.TickInterval)
				part.Attempt++
				part.Groups = nil
				for g := range 32 {
					part.Groups = append(part.Groups, model.GroupRequest{Group: g, Prompt: fmt.Sprint(part.Attempt, g), Samples: 4})
				}
				c.Apply(now, core.PartSubmitted{Part: part})
				started := 0
				for _, action := range c.Tick(now) {
					if _, ok := action.(core.RunStream); ok {
						started++
					}
				}
				if started != 128 {
					b.Fatalf("%d streams started", started)
				}
			}
		})
	}
}
