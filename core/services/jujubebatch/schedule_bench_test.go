package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
)

const (
	benchInstances   = 86
	benchEngines     = 48
	benchSubmissions = 8
	benchItems       = 150
)

// newBenchScheduler returns the scheduler of an instance of a large fleet that has read several open submissions.
func newBenchScheduler(acceptedBy model.InstanceID) (*jujubebatch.Scheduler, time.Time) {
	s, now := jujubebatch.New("i00", jujubebatch.DefaultSettings()), start
	var live []jujubebatch.Member
	for i := range benchInstances {
		live = append(live, jujubebatch.Member{ID: model.InstanceID(fmt.Sprintf("i%02d", i)), Ready: true})
	}
	s.SetLiveMembers(live)
	desired := &jujubedesired.State{Version: 1}
	for i := range 44 {
		desired.Routes = append(desired.Routes, jujubedesired.Route{
			Host: "h", PathPrefix: fmt.Sprintf("/p%d/", i), Kind: jujubedesired.Rollout, MaxAttempts: 3, Retention: 40 * time.Second,
			Targets: []jujubedesired.Target{{Service: "s", Weight: 1}},
		})
	}
	s.SetDesired(desired)
	for i := range benchEngines {
		s.PutEngine(jujubebatch.Engine{
			ID: model.EndpointID(fmt.Sprintf("e%02d", i)), Incarnation: 1, Service: "s", Slots: 8, SoftwareVersion: "v1",
			Versions: map[model.ModelName]model.WeightVersion{"m0": 1, "m1": 1, "m2": 1, "m3": 1},
		})
	}
	for i := range benchSubmissions {
		submission := &jujubebatch.Submission{
			ID: jujubebatch.SubmissionID(fmt.Sprintf("s%d", i)), Host: "h", Path: "/p4/x", Model: model.ModelName(fmt.Sprintf("m%d", i%4)),
			MinVersion: 1, By: acceptedBy, GroupCount: 8, Chunks: []jujubebatch.Pointer{{Count: 1}},
		}
		for j := range benchItems {
			submission.Items = append(submission.Items, jujubebatch.Item{
				ID: jujubebatch.ItemID(fmt.Sprintf("s%d-%d", i, j)), Path: "/p4/x", ExpectedTokens: 300 + j, Group: jujubebatch.GroupID(fmt.Sprint(j % 16)),
			})
		}
		s.Apply(now, &jujubebatch.Entry{Submission: submission})
	}
	s.SetDesiredRead(now)
	return s, now
}

// BenchmarkTick measures a check of the time limits on an instance of a large fleet: one that has accepted the submissions, one that is
// the gateway of an engine and has a few of their items, and one that has nothing to do with them.
func BenchmarkTick(b *testing.B) {
	for _, role := range []string{"Acceptor", "Gateway", "Other"} {
		b.Run(role, func(b *testing.B) {
			by := model.InstanceID("i85")
			if role == "Acceptor" {
				by = "i00"
			}
			s, now := newBenchScheduler(by)
			if role == "Gateway" {
				for i := range benchSubmissions {
					ref := jujubebatch.Offer{
						Submission: jujubebatch.SubmissionID(fmt.Sprintf("s%d", i)), Item: jujubebatch.ItemID(fmt.Sprintf("s%d-0", i)), Engine: "e00",
						Given: jujubebatch.Content{Headers: map[string]string{}},
					}
					if !s.AcceptOffer(now, ref) {
						b.Fatal("the offer isn't accepted")
					}
				}
			}
			for _, action := range s.Tick(now) {
				if offer, ok := action.(jujubebatch.OfferItems); ok {
					accepted := make([]bool, len(offer.Offers))
					for i := range accepted {
						accepted[i] = true
					}
					s.HandleOfferReply(now, offer, accepted, nil)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				s.Tick(now)
			}
		})
	}
}

// BenchmarkGateways measures how the gateways of engines are selected in a large fleet: when an engine's entry is read again, and when
// an instance comes or goes.
func BenchmarkGateways(b *testing.B) {
	s, _ := newBenchScheduler("i85")
	entry, _ := s.EngineState("e00")
	var live []jujubebatch.Member
	for i := range benchInstances {
		live = append(live, jujubebatch.Member{ID: model.InstanceID(fmt.Sprintf("i%02d", i)), Ready: true})
	}
	b.Run("Entry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.PutEngine(entry)
		}
	})
	b.Run("Members", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.SetLiveMembers(live)
		}
	})
}
