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

// hangPollInterval is the interval at which a hanging swap checks whether the fault is still set.
const hangPollInterval = 10 * time.Millisecond

// maxFetchAttempts is the number of fetch attempts per swap; only refusals by the store's rate limit are retried.
const maxFetchAttempts = 10

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order model.Order
	if !jujubehost.ReadJSON(w, r, &order) {
		return
	}
	status, refusal, report := s.acceptOrder(order)
	if refusal != nil {
		jujubehost.WriteError(w, status, *refusal)
		return
	}
	if s.Faults.Consume(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK, model.OrderResult{Accepted: true, Report: report})
}

// acceptOrder validates an order and starts the swap, or returns a status and a refusal.
func (s *Server) acceptOrder(order model.Order) (int, *model.EngineError, model.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if order.Model != s.settings.Model || order.Endpoint != s.settings.ID || order.Version <= 0 {
		return http.StatusBadRequest, &model.EngineError{
			Code: model.EngineCodeBadRequest, Message: "the order is for another endpoint or model, or names no version",
		}, model.LoadReport{}
	}
	if s.settings.CheckFence {
		if order.Fence < s.highestFencingToken {
			return http.StatusConflict, &model.EngineError{
				Code: model.EngineCodeStaleFence, Message: "a higher fencing number was seen", Fence: s.highestFencingToken,
			}, model.LoadReport{}
		}
		if order.Version < s.version || (s.swapping && order.Version != s.version && order.Version < s.target) {
			return http.StatusConflict, &model.EngineError{
				Code: model.EngineCodeBadRequest, Message: "a higher version serves or is being loaded", Fence: s.highestFencingToken,
			}, model.LoadReport{}
		}
	}
	s.highestFencingToken = max(s.highestFencingToken, order.Fence)
	if !s.settings.CheckFence || order.Version != s.version {
		s.startSwap(now, order.Version)
	}
	return 0, nil, s.currentLoad(now)
}

// startSwap starts a swap unless the version is already served or being loaded. It cancels a swap to another version. The
// caller holds the mutex.
func (s *Server) startSwap(now time.Time, version model.WeightVersion) {
	if s.swapping && s.target == version {
		return
	}
	if s.cancelSwap != nil {
		s.cancelSwap()
		s.cancelSwap = nil
	}
	s.target = version
	s.swapping = version != s.version
	s.recordLoad(now)
	if !s.swapping {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelSwap = cancel
	s.Host.Go(func(hostCtx context.Context) {
		unlink := context.AfterFunc(hostCtx, cancel)
		defer unlink()
		s.completeSwap(ctx, version, s.performSwap(ctx, version))
	})
}

// performSwap fetches the weights, waits for the duration of the swap and applies the swap faults. It returns the error that
// the swap ends with.
func (s *Server) performSwap(ctx context.Context, version model.WeightVersion) error {
	if s.settings.StoreURL != "" {
		if err := s.fetchWeights(ctx, version); err != nil {
			return err
		}
	}
	jujubehost.Sleep(ctx, s.settings.scaled(s.settings.SwapTime))
	for faults := s.Faults.Get(); (faults.HangSwaps || faults.Freeze) && ctx.Err() == nil; faults = s.Faults.Get() {
		jujubehost.Sleep(ctx, hangPollInterval)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if s.Faults.Consume(func(f *Faults) *int { return &f.FailSwaps }) {
		return errors.New("swap failed because of an injected fault")
	}
	return nil
}

// completeSwap switches to the new version, or keeps the old one after a failure, in which case target differs from version.
func (s *Server) completeSwap(ctx context.Context, version model.WeightVersion, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A swap that was replaced by another one or cancelled by a crash has no effect.
	if ctx.Err() != nil {
		return
	}
	s.cancelSwap()
	s.cancelSwap = nil
	s.swapping = false
	now := time.Now()
	if err == nil {
		s.version = version
		s.cache.evictAll(now)
	} else {
		logrus.WithError(err).WithFields(logrus.Fields{"Endpoint": s.settings.ID, "Version": version}).Warn("weight swap failed")
	}
	s.recordLoad(now)
}

// fetchWeights downloads a weight version from the store and retries when the store's rate limit refuses the fetch.
func (s *Server) fetchWeights(ctx context.Context, version model.WeightVersion) error {
	target := s.settings.StoreURL + "/v1/weights/" + url.PathEscape(string(s.settings.Model)) + "/" +
		strconv.FormatInt(int64(version), 10)
	for range maxFetchAttempts {
		wait, err := s.tryFetch(ctx, target)
		if err != nil || wait == 0 {
			return err
		}
		if !jujubehost.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	return errors.New("weight store refused all fetch attempts because of its rate limit")
}

// tryFetch makes one fetch attempt. It returns the time to wait before a retry when the store's rate limit refuses it, and
// zero when the weights were read.
func (s *Server) tryFetch(ctx context.Context, target string) (time.Duration, error) {
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
		return 0, errors.Errorf("weight store responded with status %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return 0, errors.Wrap(err, "read weights")
}
