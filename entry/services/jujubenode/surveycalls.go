package jujubenode

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeview"
)

// UnreadEnd is the end of a submission that is on the log, and that the instance which appended it hasn't read.
type UnreadEnd struct {
	Submission jujubebatch.SubmissionID
	Part       int
	Offset     int64
}

// SurveyArgs request a survey of all instances.
type SurveyArgs struct{ Unused bool }

// SurveyReply is what the instances know.
type SurveyReply struct {
	Report     jujubeview.Report
	UnreadEnds []UnreadEnd
	// Holds are the ends that instances have in hand.
	Holds []HoldArgs
}

// Survey returns what this instance knows if it reads the log, and otherwise what all instances know.
func (r *Relay) Survey(_ SurveyArgs, reply *SurveyReply) error {
	s, n := r.node.survey, r.node
	arrived := n.bootClock()
	if s.appliesToAny(jujubeview.Gate.IsLate) {
		ctx, cancel := context.WithTimeout(r.ctx, surveyTimeout)
		defer cancel()
		*reply = s.collect(ctx, arrived)
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	own := s.know(arrived)
	reply.Report.Known, reply.UnreadEnds, reply.Holds = own.Known, own.UnreadEnds, []HoldArgs{own.Hold}
	return nil
}

// KnownArgs request what an instance knows.
type KnownArgs struct{ Unused bool }

// KnownReply is what an instance knows.
type KnownReply struct {
	Known      []jujubeview.Known
	UnreadEnds []UnreadEnd
	// Hold has the ends that the instance has in hand.
	Hold HoldArgs
}

// Known returns what this instance has read, and which ends it has appended since.
func (r *Relay) Known(_ KnownArgs, reply *KnownReply) error {
	n := r.node
	arrived := n.bootClock()
	n.mu.Lock()
	defer n.mu.Unlock()
	*reply = n.survey.know(arrived)
	return nil
}

// RecentArgs request the records from an offset on.
type RecentArgs struct {
	Topic Topic
	Part  int
	From  int64
}

// RecentReply holds the records, none if some of them aren't kept.
type RecentReply struct {
	Records []Record
}

// Recent returns recently read records, whatever their age.
func (r *Relay) Recent(args RecentArgs, reply *RecentReply) error {
	f := r.node.followerOf(args.Topic, args.Part)
	if f == nil {
		return nil
	}
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	reply.Records, _ = f.recentFrom(args.From)
	return nil
}

// CheckInstanceArgs name the instance to check.
type CheckInstanceArgs struct {
	Instance model.InstanceID
	Address  string
}

// CheckInstanceReply is the result.
type CheckInstanceReply struct {
	IsGone bool
}

// CheckInstance checks for another instance whether the process of a third one is gone.
func (r *Relay) CheckInstance(args CheckInstanceArgs, reply *CheckInstanceReply) error {
	n := r.node
	n.mu.Lock()
	isKnown := n.claimants()[args.Instance] == args.Address
	n.mu.Unlock()
	if !isKnown || args.Address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	err := n.store.pool.Call(ctx, args.Address, "Relay.Known", KnownArgs{}, new(KnownReply))
	reply.IsGone = errors.Is(err, syscall.ECONNREFUSED)
	return nil
}
