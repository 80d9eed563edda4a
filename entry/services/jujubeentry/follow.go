package jujubeentry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
)

const (
	// longPoll is how long the log may hold a read that finds no record.
	longPoll = 5 * time.Second
	// readRecords bounds the records of one read.
	readRecords = 200
	// Reads of a log that doesn't answer are repeated with a growing delay.
	firstFollowRetry   = 200 * time.Millisecond
	longestFollowRetry = 5 * time.Second
)

// follow reads a stream of the log from the oldest retained record on. Instances that needn't hear of each record at
// once read it slowly, which bounds the log's load when there are many.
func (s *Service) follow(ctx context.Context, stream string) error {
	var next int64
	retry := firstFollowRetry
	for {
		following := s.isFollowing(stream)
		wait := time.Duration(0)
		if following {
			wait = longPoll
		}
		read, err := s.readLog(ctx, stream, next, wait)
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = retry
			retry = min(2*retry, longestFollowRetry)
		case !following:
			pause = s.settings.SlowPollPeriod
			fallthrough
		default:
			retry = firstFollowRetry
			before := next
			next = s.applyRead(stream, read, next)
			if len(read.Records) > 0 && next == before {
				// The records can't be used yet; reading them again at once would only load the log.
				pause = firstFollowRetry
			}
		}
		if len(read.Records) == readRecords {
			pause = 0
		}
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

func (s *Service) isFollowing(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream == model.StreamLease {
		return s.core.IsLeaseCandidate()
	}
	return s.core.IsFollowing()
}

func (s *Service) readLog(ctx context.Context, stream string, from int64, wait time.Duration) (model.LogRead, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+controlTimeout)
	defer cancel()
	read, err := s.logs.Read(ctx, stream, from, readRecords, wait)
	if ctx.Err() == nil || err == nil {
		s.reportLog(err)
	} else {
		s.reportLog(context.DeadlineExceeded)
	}
	return read, err
}

// applyRead gives the core a read and returns the offset to read from next. The configuration's fold names its own: it
// goes back to the records after a checkpoint that it has adopted.
func (s *Service) applyRead(stream string, read model.LogRead, next int64) int64 {
	if stream != model.StreamLease {
		s.apply(jujubecore.ConfigRead{Read: read})
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.ConfigNext()
	}
	s.apply(jujubecore.LeaseRead{Read: read})
	if len(read.Records) > 0 {
		return read.Records[len(read.Records)-1].Offset + 1
	}
	return max(next, read.First)
}

// reportLog tells the core whether the log answers, and logs each change.
func (s *Service) reportLog(err error) {
	if s.tomb.Context(nil).Err() != nil {
		return
	}
	// A log that refuses a request by its rate or content is not away.
	unavailable, isUnavailable := jujubeclient.IsErrLogUnavailable(err)
	away := isUnavailable && !unavailable.RateLimited || errors.Is(err, context.DeadlineExceeded)
	s.mu.Lock()
	changed := s.core.IsLogAway() != away
	s.begin(s.core.Apply(time.Now(), jujubecore.LogReached{Away: away}))
	s.mu.Unlock()
	if !changed {
		return
	}
	if away {
		s.log.Write(jujubeevent.LogUnavailable, func() logrus.Fields { return logrus.Fields{"Error": err.Error()} })
		return
	}
	s.log.Write(jujubeevent.LogAvailable, func() logrus.Fields { return logrus.Fields{} })
}
