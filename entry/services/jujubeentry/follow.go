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
	// longPollWait is how long the log service may block a read that finds no new record.
	longPollWait = 5 * time.Second
	// maxReadRecords bounds the number of records in one read.
	maxReadRecords = 200
	// Failed reads of the log are retried with exponential backoff between these two delays.
	minFollowRetry = 200 * time.Millisecond
	maxFollowRetry = 5 * time.Second
)

// follow consumes a stream of the log from the oldest retained record. An instance that doesn't need new records
// immediately polls at the slow poll period, which bounds the load on the log when there are many instances.
func (s *Service) follow(ctx context.Context, stream string) error {
	var next int64
	retry := minFollowRetry
	for {
		continuous := s.isFollowing(stream)
		wait := time.Duration(0)
		if continuous {
			wait = longPollWait
		}
		read, err := s.readLog(ctx, stream, next, wait)
		delay := time.Duration(0)
		switch {
		case err != nil:
			delay = retry
			retry = min(2*retry, maxFollowRetry)
		case !continuous:
			delay = s.settings.SlowPollPeriod
			fallthrough
		default:
			retry = minFollowRetry
			previous := next
			next = s.applyRead(stream, read, next)
			if len(read.Records) > 0 && next == previous {
				// The records can't be applied yet; an immediate read would return the same records and load the log.
				delay = minFollowRetry
			}
		}
		if len(read.Records) == maxReadRecords {
			delay = 0
		}
		if !sleep(ctx, delay) {
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
	read, err := s.logs.Read(ctx, stream, from, maxReadRecords, wait)
	if ctx.Err() == nil || err == nil {
		s.reportLogState(err)
	} else {
		s.reportLogState(context.DeadlineExceeded)
	}
	return read, err
}

// applyRead passes the records read to the core and returns the offset of the next read. For the configuration stream the
// core determines the offset: after it adopts a checkpoint, it goes back to the records that follow the checkpoint.
func (s *Service) applyRead(stream string, read model.LogRead, next int64) int64 {
	if stream != model.StreamLease {
		s.apply(jujubecore.ConfigRead{Read: read})
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.NextConfigOffset()
	}
	s.apply(jujubecore.LeaseRead{Read: read})
	if len(read.Records) > 0 {
		return read.Records[len(read.Records)-1].Offset + 1
	}
	return max(next, read.First)
}

// reportLogState updates the core with the availability of the log, derived from the result of a request, and logs changes.
func (s *Service) reportLogState(err error) {
	if s.tomb.Context(nil).Err() != nil {
		return
	}
	// A log that rejects a request because of its rate or its content is still available.
	logError, isUnavailable := jujubeclient.IsErrLogUnavailable(err)
	unavailable := isUnavailable && !logError.RateLimited || errors.Is(err, context.DeadlineExceeded)
	s.mu.Lock()
	changed := s.core.IsLogUnavailable() != unavailable
	s.startActions(s.core.Apply(time.Now(), jujubecore.LogReached{Away: unavailable}))
	s.mu.Unlock()
	if !changed {
		return
	}
	if unavailable {
		s.log.Write(jujubeevent.LogUnavailable, func() logrus.Fields { return logrus.Fields{"Error": err.Error()} })
		return
	}
	s.log.Write(jujubeevent.LogAvailable, func() logrus.Fields { return logrus.Fields{} })
}
