package jujubebench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/load/services/jujubesite"
)

// Names of the callers' retry policies after a refusal.
const (
	// RetryNever gives up without a retry.
	RetryNever = "never"
	// RetryAsAsked retries after the refusal's RetryAfter.
	RetryAsAsked = "asked"
	// RetryHasty ignores RetryAfter and retries after hastyPause.
	RetryHasty = "hasty"
)

const hastyPause = 50 * time.Millisecond

// OverloadOptions configures an overload measurement. Durations are in wall-clock time.
type OverloadOptions struct {
	Document string
	// RetryPolicies lists the retry policies to compare; Repetitions is the number of runs with each.
	RetryPolicies []string
	Repetitions   int
	// Before, Overload and After are the durations of the three phases.
	Before   time.Duration
	Overload time.Duration
	After    time.Duration
	// Normal is the rate of new requests outside the overload and Factor the rate during it, as shares of the capacity.
	Normal float64
	Factor float64
	// CallerTimeout is the time within which a caller needs its response, retries included.
	CallerTimeout time.Duration
}

// OverloadResult is the outcome of one run.
type OverloadResult struct {
	Repeats    string
	Repetition int
	// Recovery is the time from the end of the overload until the share of new requests completed in time is back at 95%
	// of the share before the overload and stays there; negative if that doesn't happen.
	Recovery time.Duration
	// Normal, During and Worst are the shares of requests completed in time before the overload, during it, and in the worst
	// second after it.
	Normal float64
	During float64
	Worst  float64
	// Seconds holds, for each second, the share of its new requests that were completed in time.
	Seconds []float64
	// Broken counts tries that ended with an error other than a refusal.
	Broken int
	// GoodputDuring is the rate of requests completed in time during the overload, divided by the capacity.
	GoodputDuring float64
	Requests      int
	Tries         int
	Refusals      int64
	// RefusalP50 and RefusalP99 are the latencies of refusals; LateRefusals counts the refusals that arrived when less than
	// a tenth of the try's time was left.
	RefusalP50   time.Duration
	RefusalP99   time.Duration
	LateRefusals int
	// Pause is the longest time for which this process didn't run.
	Pause time.Duration
}

// OverloadReport is the result of MeasureOverload.
type OverloadReport struct {
	// Capacity is in requests per second.
	Capacity float64
	Figures  []OverloadResult
}

// Median length and single-stream rate of generations on the overloaded site: a request takes about a second.
const (
	overloadTokens          = 64
	overloadTokensPerSecond = 100
)

func overloadSite(document string) jujubesite.Settings {
	settings := jujubesite.VatuwaqaSettings(document)
	settings.Engine.TokensPerSecond = overloadTokensPerSecond
	// Long chunks limit the load on this process, which also runs the engines; callers only wait for the whole response.
	settings.Engine.ChunkTokens = overloadTokens
	settings.Engine.MedianTokens, settings.Engine.SigmaTokens = overloadTokens, 0.3
	return settings
}

// overloadCapacity returns the requests per second that the engines complete with full batches.
func overloadCapacity(settings jujubesite.Settings) float64 {
	engine := settings.Engine
	slots := float64(engine.Slots)
	rate := engine.TokensPerSecond / (1 + engine.BatchSlowdown*(slots-1))
	const meanToMedian = 1.046 // mean / median of the log-normal lengths, exp(sigma²/2)
	return float64(settings.Engines) * slots * rate / (engine.MedianTokens * meanToMedian)
}

// MeasureOverload runs each retry policy in turn, each time on a new site. The order is rotated with each repetition.
func MeasureOverload(ctx context.Context, options OverloadOptions, progress func(OverloadResult)) (OverloadReport, error) {
	report := OverloadReport{Capacity: overloadCapacity(overloadSite(options.Document))}
	for repetition := range options.Repetitions {
		for i := range options.RetryPolicies {
			figure, err := runOverload(ctx, options, options.RetryPolicies[(i+repetition)%len(options.RetryPolicies)])
			if err != nil {
				return report, err
			}
			figure.Repetition = repetition
			progress(figure)
			report.Figures = append(report.Figures, figure)
		}
	}
	return report, nil
}

// overloadRun is one run with one retry policy.
type overloadRun struct {
	options     OverloadOptions
	retryPolicy string
	model       model.ModelName
	client      *jujubeclient.EntryClient
	addresses   []string

	mu           sync.Mutex
	requests     []overloadRequest
	tries        int
	lateRefusals int
	brokenTries  int
	refusals     *hdrhistogram.Histogram
}

// overloadRequest is the outcome of one request, retries included.
type overloadRequest struct {
	// sentAt is the time of the first try since the start of the run.
	sentAt time.Duration
	inTime bool
}

func runOverload(ctx context.Context, options OverloadOptions, retryPolicy string) (OverloadResult, error) {
	settings := overloadSite(options.Document)
	site, closeSite, err := jujubesite.Start(ctx, settings)
	if err != nil {
		return OverloadResult{}, err
	}
	defer closeSite()
	client := newClient()
	defer client.CloseIdleConnections()
	o := &overloadRun{
		options: options, retryPolicy: retryPolicy, model: settings.Model, client: &jujubeclient.EntryClient{HTTP: client},
		addresses: site.Addresses(), refusals: newHistogram(),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	longestPause := watchPauses(ctx)
	o.generateLoad(ctx, overloadCapacity(settings))
	cancel()
	figure := o.evaluate(overloadCapacity(settings))
	figure.Pause = <-longestPause
	return figure, nil
}

// generateLoad sends new requests at a constant rate per phase, independent of the completion of earlier requests.
func (o *overloadRun) generateLoad(ctx context.Context, capacity float64) {
	var running sync.WaitGroup
	defer running.Wait()
	started := time.Now()
	total := o.options.Before + o.options.Overload + o.options.After
	next := time.Duration(0)
	for number := 0; next < total; number++ {
		if pause := time.Until(started.Add(next)); pause > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
		sentAt := next
		running.Add(1)
		go func() {
			defer running.Done()
			inTime := o.requestWithRetries(ctx, number)
			o.mu.Lock()
			o.requests = append(o.requests, overloadRequest{sentAt: sentAt, inTime: inTime})
			o.mu.Unlock()
		}()
		rate := o.options.Normal * capacity
		if sentAt >= o.options.Before && sentAt < o.options.Before+o.options.Overload {
			rate = o.options.Factor * capacity
		}
		next += time.Duration(float64(time.Second) / rate)
	}
}

// requestWithRetries sends a request, retries it as the policy specifies until CallerTimeout has passed, and reports whether it
// was completed in time.
func (o *overloadRun) requestWithRetries(ctx context.Context, number int) bool {
	deadline := time.Now().Add(o.options.CallerTimeout)
	for try := 0; ; try++ {
		remaining := time.Until(deadline)
		started := time.Now()
		_, err := o.client.Generate(ctx, o.addresses[(number+try)%len(o.addresses)], model.GenerateRequest{
			ID: model.RequestID(fmt.Sprintf("%d-%d", number, try)), Caller: "overload", Model: o.model,
			Prompt: fmt.Sprintf("entry %d", number), MaxTokens: 4 * overloadTokens, Timeout: model.Duration(remaining),
		})
		took := time.Since(started)
		refusal, isRefusal := jujubeerror.IsErrRefused(err)
		o.mu.Lock()
		o.tries++
		if isRefusal {
			_ = o.refusals.RecordValue(max(minMicroseconds, took.Microseconds()))
			if took > remaining*9/10 {
				o.lateRefusals++
			}
		} else if err != nil {
			o.brokenTries++
		}
		o.mu.Unlock()
		if err == nil {
			return time.Now().Before(deadline)
		}
		pause := hastyPause
		if o.retryPolicy == RetryAsAsked {
			pause = refusal.RetryAfter
		}
		if o.retryPolicy == RetryNever || !isRefusal || pause <= 0 || time.Now().Add(pause).After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
}

// evaluate computes the shares of requests completed in time, by the second of their first try.
func (o *overloadRun) evaluate(capacity float64) OverloadResult {
	const second = time.Second
	begin, end := o.options.Before, o.options.Before+o.options.Overload
	shareInTime := func(from, to time.Duration) (share float64, inTime int) {
		count := 0
		for _, request := range o.requests {
			if request.sentAt >= from && request.sentAt < to {
				count++
				if request.inTime {
					inTime++
				}
			}
		}
		return float64(inTime) / float64(max(1, count)), inTime
	}
	f := OverloadResult{
		Repeats: o.retryPolicy, Requests: len(o.requests), Tries: o.tries, Refusals: o.refusals.TotalCount(),
		RefusalP50:   time.Duration(o.refusals.ValueAtQuantile(50)) * time.Microsecond,
		RefusalP99:   time.Duration(o.refusals.ValueAtQuantile(99)) * time.Microsecond,
		LateRefusals: o.lateRefusals, Broken: o.brokenTries, Recovery: -1, Worst: 1,
	}
	// The first half of the phase is left out, because the instances' estimates are still warming up.
	f.Normal, _ = shareInTime(begin/2, begin)
	var completed int
	f.During, completed = shareInTime(begin, end)
	f.GoodputDuring = float64(completed) / o.options.Overload.Seconds() / capacity
	for at := time.Duration(0); at+second <= end+o.options.After; at += second {
		share, _ := shareInTime(at, at+second)
		f.Seconds = append(f.Seconds, share)
	}
	recovered := false
	for at := end; at+second <= end+o.options.After; at += second {
		share, _ := shareInTime(at, at+second)
		f.Worst = min(f.Worst, share)
		good := share >= 0.95*f.Normal
		if good && !recovered {
			f.Recovery = at - end
		}
		if !good {
			f.Recovery = -1
		}
		recovered = good
	}
	return f
}

// WriteText writes the capacity and one line for each run.
func (r OverloadReport) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "capacity %.0f requests per second\n", r.Capacity)
	for _, f := range r.Figures {
		_, err := fmt.Fprintf(out, "repeats %s: recovery %s; answered in time: before %.3f, during %.3f (%.3f of the capacity), "+
			"worst second after %.3f; requests %d, tries %d, refusals %d, p50 %s, p99 %s, late %d, broken %d; pause %s\n",
			f.Repeats, f.Recovery, f.Normal, f.During, f.GoodputDuring, f.Worst, f.Requests, f.Tries, f.Refusals,
			f.RefusalP50, f.RefusalP99, f.LateRefusals, f.Broken, f.Pause.Round(time.Millisecond))
		if err != nil {
			return err
		}
	}
	return nil
}
