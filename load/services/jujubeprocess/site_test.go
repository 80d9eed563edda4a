package jujubeprocess_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/load/services/jujubetrainer"
)

const (
	modelName = "faultserve"
	service   = "pumplog"
)

var dataCentres = []model.DataCentre{"suva-a", "suva-b", "nadi-a", "lautoka-a"}

// scale is the size of a site and the flags of its processes.
type scale struct {
	engines, services, scorers, entries int
	engineFlags, entryFlags, logFlags   []string
	// other is the directory of another build's programs; otherPlatform is true when the log, the list and the store are of it.
	other         string
	otherPlatform bool
}

// vatuwaqa is the site's real size; engines are ten times as fast as real ones.
func vatuwaqa(engineFlags ...string) scale {
	return scale{engines: 10, services: 4, scorers: 2, entries: 9, engineFlags: engineFlags}
}

// entry is an entry instance with its listeners' addresses.
type entry struct {
	*process
	id                      model.InstanceID
	callers, peers, operate string
}

// endpoint is an emulated engine, plain server or scorer.
type endpoint struct {
	*process
	id   model.EndpointID
	host string
}

type site struct {
	scale
	list, log, store            string
	engineRows, services, score []endpoint
	instances                   []*entry
	client                      *http.Client
	entryClient                 *jujubeclient.EntryClient
	directory                   string
}

// startSite starts the platform, the endpoints and the entry instances, publishes the document with jujubectl and waits
// until each instance sees all others and all endpoints.
func startSite(t *testing.T, size scale) *site {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	t.Cleanup(transport.CloseIdleConnections)
	s := &site{scale: size, client: &http.Client{Transport: transport}, directory: t.TempDir()}
	s.entryClient = &jujubeclient.EntryClient{HTTP: s.client}
	platform := size.platformBuild()
	list := startFrom(t, platform, "jujubestandin", "list", "list", "--lag", "300ms")
	log := startFrom(t, platform, "jujubestandin", "log", append([]string{"log"}, size.logFlags...)...)
	store := startFrom(t, platform, "jujubestandin", "store", "store", "--bytes-per-second", "0")
	s.list, s.log, s.store = list.address(t), log.address(t), store.address(t)
	engineFlags := append([]string{
		"--model", modelName, "--tokens-per-second", "1000", "--batch-slowdown", "0.01", "--median-tokens", "120",
		"--load-lag", "100ms", "--swap-time", "300ms", "--store-url", "http://" + s.store,
	}, size.engineFlags...)
	s.engineRows = s.startEndpoints(t, "engine", modelName, size.engines, engineFlags)
	s.services = s.startEndpoints(t, "service", service, size.services, []string{"--service", service})
	s.score = s.startEndpoints(t, "scorer", "scorer", size.scorers, []string{"--service", "scorer"})
	output, code := s.publish(t, s.writeDocument(t, ""))
	assert.Equal(t, code, 0, output)
	for i := range size.entries {
		s.startEntry(t, i)
	}
	s.waitReady(t)
	return s
}

func (s *site) startEndpoints(t *testing.T, kind, prefix string, count int, flags []string) []endpoint {
	t.Helper()
	rows := make([]endpoint, count)
	for i := range rows {
		id := fmt.Sprintf("%s-%02d", prefix, i)
		own := []string{
			kind, "--id", id, "--data-centre", string(dataCentres[i%len(dataCentres)]), "--list-url", "http://" + s.list,
			"--heartbeat", "300ms",
		}
		rows[i] = endpoint{process: startFrom(t, s.build(i), "jujubestandin", id, append(own, flags...)...), id: model.EndpointID(id)}
	}
	for i := range rows {
		rows[i].host = rows[i].address(t)
	}
	return rows
}

// startEntry starts an entry instance and waits until it listens. It takes new ports if another process has taken one of
// them meanwhile.
func (s *site) startEntry(t *testing.T, index int) *entry {
	t.Helper()
	for {
		addresses := freeAddresses(t, 3)
		e := &entry{id: model.InstanceID(fmt.Sprintf("entry-%02d", index)), callers: addresses[0], peers: addresses[1], operate: addresses[2]}
		e.process = startFrom(t, s.build(index), "jujubepier", string(e.id), append([]string{
			"serve", "--instance", string(e.id), "--data-centre", string(dataCentres[index%len(dataCentres)]),
			"--caller-address", e.callers, "--peer-address", e.peers, "--operator-address", e.operate,
			"--log-address", s.log, "--list-address", s.list, "--register", "true", "--list-period", "300ms",
			"--load-period", "100ms", "--address-validity", "2s",
		}, s.entryFlags...)...)
		eventually(t, "the instance listens or has ended", func() bool { return e.hasEnded() || len(e.events("InstanceStarted")) > 0 })
		if e.hasEnded() && strings.Contains(e.log.String(), "address already in use") {
			continue
		}
		s.instances = append(s.instances, e)
		return e
	}
}

// waitReady waits until the instances that run answer /readyz, see all that run and know all endpoints.
func (s *site) waitReady(t *testing.T) {
	t.Helper()
	eventually(t, "instances are ready", func() bool {
		for _, e := range s.instances {
			assert.Assert(t, !e.hasEnded(), "%s has ended: %s", e.id, e.log.tail())
			status, ok := s.status(e)
			if !ok || !e.isReady(s) || len(status.Members) < len(s.instances) ||
				len(status.Endpoints) < s.scale.engines+s.scale.services+s.scale.scorers {
				return false
			}
		}
		return true
	})
}

func (e *entry) isReady(s *site) bool {
	return s.call(http.MethodGet, "http://"+e.operate+"/readyz", nil, nil) == nil
}

// call sends a JSON request whose answer must come within 2 s.
func (s *site) call(method, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return jujubehttp.Call(ctx, s.client, method, url, body, answer)
}

func (s *site) status(e *entry) (status model.Status, ok bool) {
	return status, s.call(http.MethodGet, "http://"+e.operate+"/v1/status", nil, &status) == nil
}

// setFaults replaces the faults of an emulator.
func (s *site) setFaults(t *testing.T, address string, faults any) {
	t.Helper()
	assert.NilError(t, s.call(http.MethodPut, "http://"+address+"/faults", faults, nil))
}

// writeDocument writes the example document, with a comment that makes it differ from others.
func (s *site) writeDocument(t *testing.T, comment string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "vatuwaqa.yaml"))
	assert.NilError(t, err)
	file := filepath.Join(s.directory, "document-"+comment+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(fmt.Sprintf("%s\n# %s\n", strings.TrimSpace(string(data)), comment)), 0o600))
	return file
}

func (s *site) publish(t *testing.T, file string, flags ...string) (string, int) {
	t.Helper()
	arguments := append([]string{"--log", s.log, "--timeout", "2s", "--author", "test", "publish"}, flags...)
	return ctl(t, append(arguments, file)...)
}

// operators are the flags that name all entry instances to jujubectl.
func (s *site) operators() []string {
	var flags []string
	for _, e := range s.instances {
		if !e.hasEnded() {
			flags = append(flags, "--operator", e.operate)
		}
	}
	return flags
}

func (s *site) callers() []string {
	var addresses []string
	for _, e := range s.instances {
		addresses = append(addresses, e.callers)
	}
	return addresses
}

// trainer returns the settings of a trainer with steps of 256 samples in groups of 8.
func (s *site) trainer(steps int) jujubetrainer.Settings {
	return jujubetrainer.Settings{
		Trainer: "sump-policy", Model: modelName, DataCentre: dataCentres[0], Addresses: s.callers(), StoreURL: "http://" + s.store,
		Steps: steps, Groups: 32, GroupSize: 8, MaxTokens: 512, PromptBytes: 200, TrainTime: 100 * time.Millisecond,
		StalenessBound: 1, StepTimeout: conditionLimit, Seed: 1,
	}
}

// runTrainer runs a trainer, which checks that each group comes once and whole and that labels cover each sample.
func runTrainer(t *testing.T, settings jujubetrainer.Settings) []jujubetrainer.StepResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionLimit)
	defer cancel()
	results, err := jujubetrainer.New(settings).Run(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(results), settings.Steps)
	for _, result := range results {
		assert.Equal(t, result.Samples, settings.Groups*settings.GroupSize)
		assert.Equal(t, result.Failed, 0)
	}
	return results
}

// event is a log line of an entry instance.
type event struct {
	Time time.Time `json:"time"`
	Name string    `json:"msg"`
	Line string    `json:"-"`
}

// events returns the log lines of an event.
func (p *process) events(name string) []event {
	var found []event
	for line := range strings.SplitSeq(p.log.String(), "\n") {
		var row event
		if json.Unmarshal([]byte(line), &row) == nil && row.Name == name {
			row.Line = line
			found = append(found, row)
		}
	}
	return found
}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	return data
}
