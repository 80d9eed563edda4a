package jujubebench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/load/services/jujubesite"
)

// HopOptions describe the measurement of one hop.
type HopOptions struct {
	// Document is the text of the environment document of the Vatuwaqa site.
	Document string
	// Calls is the number of calls of each kind on each path, in each repetition.
	Calls  int
	Repeat int
	// Tokens is the length of a generation.
	Tokens int
}

// HopFigure compares a call through one entry instance with the same call straight to the endpoint.
type HopFigure struct {
	Kind string
	// P50 and P99 are ratios of the times through the instance to the direct ones. AddedP50 and AddedP99 are the
	// differences, in microseconds.
	P50      Spread
	P99      Spread
	AddedP50 Spread
	AddedP99 Spread
}

// HopReport is the result of MeasureHop.
type HopReport struct{ Figures []HopFigure }

// Bounds of the histograms, in microseconds.
const (
	leastTime = 1
	mostTime  = 60_000_000
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastTime, mostTime, digits) }

// hop holds the clients of one measurement.
type hop struct {
	options HopOptions
	site    *jujubesite.Site
	client  *http.Client
	engine  *jujubeclient.EngineClient
	entry   *jujubeclient.EntryClient
	next    int
}

// MeasureHop makes each call straight and through one instance in turn, so that both see the same machine.
func MeasureHop(ctx context.Context, options HopOptions) (HopReport, error) {
	settings := jujubesite.Vatuwaqa(options.Document)
	settings.Entries, settings.Engines, settings.Services, settings.Scorers = 1, 1, 1, 1
	settings.Engine.Step = time.Millisecond
	settings.Engine.MedianTokens, settings.Engine.SigmaTokens = 1000, 0
	site, closeSite, err := jujubesite.Start(ctx, settings)
	if err != nil {
		return HopReport{}, err
	}
	defer closeSite()
	client := newClient()
	defer client.CloseIdleConnections()
	h := &hop{
		options: options, site: site, client: client, engine: &jujubeclient.EngineClient{HTTP: client},
		entry: &jujubeclient.EntryClient{HTTP: client},
	}
	service, err := h.compare(ctx, "plain service call", h.callDirect, h.callThrough)
	if err != nil {
		return HopReport{}, err
	}
	generation, err := h.compare(ctx, fmt.Sprintf("generation of %d tokens", options.Tokens), h.generateDirect, h.generateThrough)
	return HopReport{Figures: []HopFigure{service, generation}}, err
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 8192, 2048
	return &http.Client{Transport: transport}
}

func (h *hop) compare(ctx context.Context, kind string, direct, through func(ctx context.Context) error) (HopFigure, error) {
	const warmUp = 50
	figure := HopFigure{Kind: kind}
	var p50, p99, added50, added99 []float64
	for range h.options.Repeat {
		straight, passed := newHistogram(), newHistogram()
		for i := range h.options.Calls + warmUp {
			for at, call := range []func(ctx context.Context) error{direct, through} {
				histogram := []*hdrhistogram.Histogram{straight, passed}[at]
				started := time.Now()
				if err := call(ctx); err != nil {
					return figure, errors.Wrap(err, kind)
				}
				if i < warmUp {
					continue
				}
				if err := histogram.RecordValue(max(leastTime, time.Since(started).Microseconds())); err != nil {
					return figure, errors.Wrap(err, kind)
				}
			}
		}
		read := func(quantile float64) (ratio, added float64) {
			a, b := float64(passed.ValueAtQuantile(quantile)), float64(straight.ValueAtQuantile(quantile))
			return a / b, a - b
		}
		r50, a50 := read(50)
		r99, a99 := read(99)
		p50, p99 = append(p50, r50), append(p99, r99)
		added50, added99 = append(added50, a50), append(added99, a99)
	}
	figure.P50, figure.P99, figure.AddedP50, figure.AddedP99 = spread(p50), spread(p99), spread(added50), spread(added99)
	return figure, nil
}

func (h *hop) callDirect(ctx context.Context) error {
	return h.get(ctx, "http://"+h.site.Services[0].Address()+"/v1/records")
}

func (h *hop) callThrough(ctx context.Context) error {
	return h.get(ctx, "http://"+h.site.Addresses()[0]+"/v1/services/"+string(h.site.Settings.Service)+"/v1/records")
}

func (h *hop) get(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set(model.HeaderCaller, "hop")
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("answer %s", response.Status)
	}
	return nil
}

// hopPrompt is the same for all generations, so that the prompt is cached on both paths.
const hopPrompt = "name the fault in the pump log of the second sump and say which part has to be replaced first"

func (h *hop) generateDirect(ctx context.Context) error {
	h.next++
	done, err := h.engine.Generate(ctx, h.site.Engines[0].Address(), model.EngineRequest{
		Stream: model.StreamID(fmt.Sprintf("direct-%d", h.next)), Model: h.site.Settings.Model, Prompt: hopPrompt,
		MaxTokens: h.options.Tokens, Timeout: model.Duration(10 * time.Second),
	}, func(model.Chunk) error { return nil })
	return h.checkTokens(done.Tokens, err)
}

func (h *hop) generateThrough(ctx context.Context) error {
	h.next++
	result, err := h.entry.Generate(ctx, h.site.Addresses()[0], model.GenerateRequest{
		ID: model.RequestID(fmt.Sprintf("hop-%d", h.next)), Caller: "hop", Model: h.site.Settings.Model, Prompt: hopPrompt,
		MaxTokens: h.options.Tokens, Timeout: model.Duration(10 * time.Second),
	})
	return h.checkTokens(result.Tokens, err)
}

func (h *hop) checkTokens(tokens int, err error) error {
	if err == nil && tokens != h.options.Tokens {
		return errors.Errorf("%d tokens instead of %d", tokens, h.options.Tokens)
	}
	return err
}

// WriteText writes the report.
func (r HopReport) WriteText(out io.Writer) error {
	for _, f := range r.Figures {
		_, err := fmt.Fprintf(out, "%s, through an instance / straight: p50 %s, p99 %s; added µs: p50 %s, p99 %s\n",
			f.Kind, f.P50, f.P99, f.AddedP50, f.AddedP99)
		if err != nil {
			return err
		}
	}
	return nil
}
