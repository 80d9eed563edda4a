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

// Names of what callers do after a refusal.
const (
	// RepeatNever gives up.
	RepeatNever = "never"
	// RepeatAsked comes back after the refusal's RetryAfter.
	RepeatAsked = "asked"
	// RepeatHasty ignores RetryAfter and comes back after hastyPause.
	RepeatHasty = "hasty"
)

const hastyPause = 50 * time.Millisecond

// OverloadOptions describe an overload. Times are those of the clock.
type OverloadOptions struct {
	Document string
	Repeats  []string
	Repeat   int
	// Before, Overload and After are the lengths of the three phases.
	Before   time.Duration
	Overload time.Duration
	After    time.Duration
	// Normal and Factor are the rates of new requests in and outside the overload, as shares of the capacity.
	Normal float64
	Factor float64
	// Patience is the time in which a caller wants its answer, over all its tries.
	Patience time.Duration
}

// OverloadFigure is the outcome of one run.
type OverloadFigure struct {
	Repeats    string
	Repetition int
	// Recovery is the time from the end of the overload until the share of new requests that are answered in time is
	// at 95% of that before the overload, and stays there; negative when it doesn't.
	Recovery time.Duration
	// Normal, During and Worst are the shares answered in time: before, during the overload, and of the worst second
	// after it.
	Normal float64
	During float64
	Worst  float64
	// Seconds holds the share of each second's new requests that were answered in time.
	Seconds []float64
	// Broken counts tries that ended neither with an answer nor with a refusal.
	Broken int
	// GoodputDuring divides the answers in time per second of the overload by the capacity.
	GoodputDuring float64
	Requests      int
	Tries         int
	Refusals      int64
	// RefusalP50 and RefusalP99 are from sending a try to its refusal; LateRefusals counts those that came when less than
	// a tenth of the try's time was left.
	RefusalP50   time.Duration
	RefusalP99   time.Duration
	LateRefusals int
	Pause        time.Duration
}

// OverloadReport is the result of MeasureOverload.
type OverloadReport struct {
	Capacity float64
	Figures  []OverloadFigure
}

// Lengths and rates of the overload's site: requests of about a second.
const (
	overloadTokens = 64
	overloadRate   = 100
)

func overloadSite(document string) jujubesite.Settings {
	settings := jujubesite.Vatuwaqa(document)
	settings.Engine.TokensPerSecond = overloadRate
	// Chunks bound the work of this process; the length of a chunk doesn't matter to the callers.
	settings.Engine.ChunkTokens = overloadTokens
	settings.Engine.MedianTokens, settings.Engine.SigmaTokens = overloadTokens, 0.3
	return settings
}

// overloadCapacity is the requests per second that the engines complete at full batch.
func overloadCapacity(settings jujubesite.Settings) float64 {
	engine := settings.Engine
	slots := float64(engine.Slots)
	rate := engine.TokensPerSecond / (1 + engine.BatchSlowdown*(slots-1))
	const meanOfMedian = 1.046 // exp(sigma²/2) of the log-normal lengths
	return float64(settings.Engines) * slots * rate / (engine.MedianTokens * meanOfMedian)
}

// MeasureOverload runs each kind of callers in turn, on a new site each time.
func MeasureOverload(ctx context.Context, options OverloadOptions, progress func(OverloadFigure)) (OverloadReport, error) {
	report := OverloadReport{Capacity: overloadCapacity(overloadSite(options.Document))}
	for repetition := range options.Repeat {
		for i := range options.Repeats {
			figure, err := runOverload(ctx, options, options.Repeats[(i+repetition)%len(options.Repeats)])
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

// overload is one run.
type overload struct {
	options   OverloadOptions
	repeats   string
	model     model.ModelName
	client    *jujubeclient.EntryClient
	addresses []string

	mu       sync.Mutex
	requests []overloadRequest
	tries    int
	late     int
	broken   int
	refusals *hdrhistogram.Histogram
}

type overloadRequest struct {
	at time.Duration
	ok bool
}

func runOverload(ctx context.Context, options OverloadOptions, repeats string) (OverloadFigure, error) {
	settings := overloadSite(options.Document)
	site, closeSite, err := jujubesite.Start(ctx, settings)
	if err != nil {
		return OverloadFigure{}, err
	}
	defer closeSite()
	client := newClient()
	defer client.CloseIdleConnections()
	o := &overload{
		options: options, repeats: repeats, model: settings.Model, client: &jujubeclient.EntryClient{HTTP: client},
		addresses: site.Addresses(), refusals: newHistogram(),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := watchPauses(ctx)
	o.generate(ctx, overloadCapacity(settings))
	cancel()
	figure := o.figure(overloadCapacity(settings))
	figure.Pause = <-watch
	return figure, nil
}

// generate sends new requests at an even rate that depends on the phase, whatever becomes of earlier ones.
func (o *overload) generate(ctx context.Context, capacity float64) {
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
		at := next
		running.Add(1)
		go func() {
			defer running.Done()
			ok := o.request(ctx, number)
			o.mu.Lock()
			o.requests = append(o.requests, overloadRequest{at: at, ok: ok})
			o.mu.Unlock()
		}()
		rate := o.options.Normal * capacity
		if at >= o.options.Before && at < o.options.Before+o.options.Overload {
			rate = o.options.Factor * capacity
		}
		next += time.Duration(float64(time.Second) / rate)
	}
}

// request tries until the answer comes or the patience is over, and tells whether it came in time.
func (o *overload) request(ctx context.Context, number int) bool {
	deadline := time.Now().Add(o.options.Patience)
	for try := 0; ; try++ {
		left := time.Until(deadline)
		started := time.Now()
		_, err := o.client.Generate(ctx, o.addresses[(number+try)%len(o.addresses)], model.GenerateRequest{
			ID: model.RequestID(fmt.Sprintf("%d-%d", number, try)), Caller: "overload", Model: o.model,
			Prompt: fmt.Sprintf("entry %d", number), MaxTokens: 4 * overloadTokens, Timeout: model.Duration(left),
		})
		took := time.Since(started)
		refused, isRefused := jujubeerror.IsErrRefused(err)
		o.mu.Lock()
		o.tries++
		if isRefused {
			_ = o.refusals.RecordValue(max(leastTime, took.Microseconds()))
			if took > left*9/10 {
				o.late++
			}
		} else if err != nil {
			o.broken++
		}
		o.mu.Unlock()
		if err == nil {
			return time.Now().Before(deadline)
		}
		pause := hastyPause
		if o.repeats == RepeatAsked {
			pause = refused.RetryAfter
		}
		if o.repeats == RepeatNever || !isRefused || pause <= 0 || time.Now().Add(pause).After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
}

// figure counts the requests by the second in which they were new.
func (o *overload) figure(capacity float64) OverloadFigure {
	const second = time.Second
	begin, end := o.options.Before, o.options.Before+o.options.Overload
	share := func(from, to time.Duration) (share float64, ok int) {
		count := 0
		for _, request := range o.requests {
			if request.at >= from && request.at < to {
				count++
				if request.ok {
					ok++
				}
			}
		}
		return float64(ok) / float64(max(1, count)), ok
	}
	f := OverloadFigure{
		Repeats: o.repeats, Requests: len(o.requests), Tries: o.tries, Refusals: o.refusals.TotalCount(),
		RefusalP50:   time.Duration(o.refusals.ValueAtQuantile(50)) * time.Microsecond,
		RefusalP99:   time.Duration(o.refusals.ValueAtQuantile(99)) * time.Microsecond,
		LateRefusals: o.late, Broken: o.broken, Recovery: -1, Worst: 1,
	}
	// The first seconds warm the instances' estimates up.
	f.Normal, _ = share(begin/2, begin)
	var answered int
	f.During, answered = share(begin, end)
	f.GoodputDuring = float64(answered) / o.options.Overload.Seconds() / capacity
	for at := time.Duration(0); at+second <= end+o.options.After; at += second {
		now, _ := share(at, at+second)
		f.Seconds = append(f.Seconds, now)
	}
	recovered := false
	for at := end; at+second <= end+o.options.After; at += second {
		now, _ := share(at, at+second)
		f.Worst = min(f.Worst, now)
		good := now >= 0.95*f.Normal
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

// WriteText writes the report.
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
