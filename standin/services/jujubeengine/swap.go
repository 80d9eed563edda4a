package jujubeengine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
)

// hangCheck is the interval at which a hanging swap looks whether the fault is still set.
const hangCheck = 10 * time.Millisecond

// fetchAttempts bounds how often the store may refuse one swap's fetch for its rate limit.
const fetchAttempts = 10

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order model.Order
	if !jujubehost.ReadJSON(w, r, &order) {
		return
	}
	status, refusal, report := s.accept(order)
	if refusal != nil {
		jujubehost.WriteError(w, status, *refusal)
		return
	}
	if s.Faults.Take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK, model.OrderResult{Accepted: true, Report: report})
}

// accept checks an order and begins the swap.
func (s *Server) accept(order model.Order) (int, *model.EngineError, model.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if order.Model != s.settings.Model || order.Endpoint != s.settings.ID || order.Version <= 0 {
		return http.StatusBadRequest, &model.EngineError{
			Code: model.EngineCodeBadRequest, Message: "the order is for another endpoint or model, or names no version",
		}, model.LoadReport{}
	}
	if s.settings.CheckFence {
		if order.Fence < s.fence {
			return http.StatusConflict, &model.EngineError{
				Code: model.EngineCodeStaleFence, Message: "a higher fencing number was seen", Fence: s.fence,
			}, model.LoadReport{}
		}
		if order.Version < s.version || (s.swapping && order.Version != s.version && order.Version < s.target) {
			return http.StatusConflict, &model.EngineError{
				Code: model.EngineCodeBadRequest, Message: "a higher version serves or is being loaded", Fence: s.fence,
			}, model.LoadReport{}
		}
	}
	s.fence = max(s.fence, order.Fence)
	if !s.settings.CheckFence || order.Version != s.version {
		s.begin(now, order.Version)
	}
	return 0, nil, s.report(now)
}

// begin starts a swap unless the version already serves or is on its way; it replaces a swap to another version.
func (s *Server) begin(now time.Time, version model.WeightVersion) {
	if s.swapping && s.target == version {
		return
	}
	if s.stopSwap != nil {
		s.stopSwap()
		s.stopSwap = nil
	}
	s.target = version
	s.swapping = version != s.version
	s.measure(now)
	if !s.swapping {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stopSwap = stop
	s.Host.Go(func(host context.Context) {
		release := context.AfterFunc(host, stop)
		defer release()
		s.finish(ctx, version, s.swap(ctx, version))
	})
}

// swap takes the time of a swap and returns the error that it ends with.
func (s *Server) swap(ctx context.Context, version model.WeightVersion) error {
	if s.settings.StoreURL != "" {
		if err := s.fetch(ctx, version); err != nil {
			return err
		}
	}
	jujubehost.Sleep(ctx, s.settings.scaled(s.settings.SwapTime))
	for faults := s.Faults.Get(); (faults.HangSwaps || faults.Freeze) && ctx.Err() == nil; faults = s.Faults.Get() {
		jujubehost.Sleep(ctx, hangCheck)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if s.Faults.Take(func(f *Faults) *int { return &f.FailSwaps }) {
		return errors.New("swap fails by a fault")
	}
	return nil
}

// finish puts the new version in service, or leaves the old one after a failure; target then differs from version.
func (s *Server) finish(ctx context.Context, version model.WeightVersion, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A swap that was replaced or ended by a crash has no effect.
	if ctx.Err() != nil {
		return
	}
	s.stopSwap()
	s.stopSwap = nil
	s.swapping = false
	now := time.Now()
	if err == nil {
		s.version = version
		s.cache.clear(now)
	} else {
		logrus.WithError(err).WithFields(logrus.Fields{"Endpoint": s.settings.ID, "Version": version}).Warn("swap failed")
	}
	s.measure(now)
}

func (s *Server) fetch(ctx context.Context, version model.WeightVersion) error {
	target := s.settings.StoreURL + "/v1/weights/" + url.PathEscape(string(s.settings.Model)) + "/" +
		strconv.FormatInt(int64(version), 10)
	for range fetchAttempts {
		wait, err := s.fetchOnce(ctx, target)
		if err != nil || wait == 0 {
			return err
		}
		if !jujubehost.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	return errors.New("the store refused the fetch for its rate limit")
}

// fetchOnce returns the time to wait when the store refuses the fetch for its rate limit.
func (s *Server) fetchOnce(ctx context.Context, target string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, errors.Wrap(err, "request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "fetch weights")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusTooManyRequests {
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if err != nil {
			seconds = 1
		}
		return time.Duration(max(1, seconds)) * time.Second, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("store answered %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return 0, errors.Wrap(err, "read weights")
}
