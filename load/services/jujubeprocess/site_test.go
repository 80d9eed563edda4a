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
	modelName   = "faultserve"
	serviceName = "pumplog"
)

var dataCentres = []model.DataCentre{"suva-a", "suva-b", "nadi-a", "lautoka-a"}

// siteConfig configures the size of a site and the flags and builds of its processes.
type siteConfig struct {
	engines, services, scorers, entries int
	engineFlags, entryFlags, logFlags   []string
	// otherDirectory is the directory of another build's programs, empty for none. With platformFromOther the log, the
	// instance list and the store run that build.
	otherDirectory    string
	platformFromOther bool
}

// vatuwaqaConfig returns the real size of the Vatuwaqa site, with engines that are ten times as fast as real ones.
func vatuwaqaConfig(engineFlags ...string) siteConfig {
	return siteConfig{engines: 10, services: 4, scorers: 2, entries: 9, engineFlags: engineFlags}
}

// entry is the process of an entry instance with the addresses of its listeners.
type entry struct {
	*process
	id                                          model.InstanceID
	callerAddress, peerAddress, operatorAddress string
}

// endpoint is the process of an emulated engine, plain service or scorer.
type endpoint struct {
	*process
	id      model.EndpointID
	address string
}

// site is a running site. Its endpoints are in the order of their numbers, its entry instances in the order of their start.
type site struct {
	siteConfig
	listAddress, logAddress, storeAddress              string
	engineEndpoints, serviceEndpoints, scorerEndpoints []endpoint
	instances                                          []*entry
	client                                             *http.Client
	entryClient                                        *jujubeclient.EntryClient
	directory                                          string
}

// startSite starts the emulated platform, the endpoints and the entry instances, publishes the example document with
// jujubectl and waits until every instance lists all instances and all endpoints.
func startSite(t *testing.T, config siteConfig) *site {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	t.Cleanup(transport.CloseIdleConnections)
	s := &site{siteConfig: config, client: &http.Client{Transport: transport}, directory: t.TempDir()}
	s.entryClient = &jujubeclient.EntryClient{HTTP: s.client}
	platform := config.platformPrograms()
	list := startProcess(t, platform, "jujubestandin", "list", "list", "--lag", "300ms")
	log := startProcess(t, platform, "jujubestandin", "log", append([]string{"log"}, config.logFlags...)...)
	store := startProcess(t, platform, "jujubestandin", "store", "store", "--bytes-per-second", "0")
	s.listAddress, s.logAddress, s.storeAddress = list.waitAddress(t), log.waitAddress(t), store.waitAddress(t)
	engineFlags := append([]string{
		"--model", modelName, "--tokens-per-second", "1000", "--batch-slowdown", "0.01", "--median-tokens", "120",
		"--load-lag", "100ms", "--swap-time", "300ms", "--store-url", "http://" + s.storeAddress,
	}, config.engineFlags...)
	s.engineEndpoints = s.startEndpoints(t, "engine", modelName, config.engines, engineFlags)
	s.serviceEndpoints = s.startEndpoints(t, "service", serviceName, config.services, []string{"--service", serviceName})
	s.scorerEndpoints = s.startEndpoints(t, "scorer", "scorer", config.scorers, []string{"--service", "scorer"})
	output, code := s.publish(t, s.writeDocument(t, ""))
	assert.Equal(t, code, 0, output)
	for i := range config.entries {
		s.startEntry(t, i)
	}
	s.waitReady(t)
	return s
}

// startEndpoints starts emulated endpoints of one kind and waits until all listen.
func (s *site) startEndpoints(t *testing.T, kind, prefix string, count int, flags []string) []endpoint {
	t.Helper()
	endpoints := make([]endpoint, count)
	for i := range endpoints {
		id := fmt.Sprintf("%s-%02d", prefix, i)
		arguments := []string{
			kind, "--id", id, "--data-centre", string(dataCentres[i%len(dataCentres)]), "--list-url", "http://" + s.listAddress,
			"--heartbeat", "300ms",
		}
		endpoints[i] = endpoint{
			process: startProcess(t, s.programsFor(i), "jujubestandin", id, append(arguments, flags...)...), id: model.EndpointID(id),
		}
	}
	for i := range endpoints {
		endpoints[i].address = endpoints[i].waitAddress(t)
	}
	return endpoints
}

// startEntry starts an entry instance and waits until it listens. It retries with new ports when another process has bound
// one of them in the meantime.
func (s *site) startEntry(t *testing.T, index int) *entry {
	t.Helper()
	for {
		addresses := freeAddresses(t, 3)
		e := &entry{
			id:            model.InstanceID(fmt.Sprintf("entry-%02d", index)),
			callerAddress: addresses[0], peerAddress: addresses[1], operatorAddress: addresses[2],
		}
		e.process = startProcess(t, s.programsFor(index), "jujubepier", string(e.id), append([]string{
			"serve", "--instance", string(e.id), "--data-centre", string(dataCentres[index%len(dataCentres)]),
			"--caller-address", e.callerAddress, "--peer-address", e.peerAddress, "--operator-address", e.operatorAddress,
			"--log-address", s.logAddress, "--list-address", s.listAddress, "--register", "true", "--list-period", "300ms",
			"--load-period", "100ms", "--address-validity", "2s",
		}, s.entryFlags...)...)
		eventually(t, "the instance listens or has exited", func() bool { return e.hasExited() || len(e.events("InstanceStarted")) > 0 })
		if e.hasExited() && strings.Contains(e.log.String(), "address already in use") {
			continue
		}
		s.instances = append(s.instances, e)
		return e
	}
}

// waitReady waits until every instance answers /readyz and lists all instances and all endpoints. An instance that has
// exited fails the test.
func (s *site) waitReady(t *testing.T) {
	t.Helper()
	eventually(t, "the instances are ready", func() bool {
		for _, e := range s.instances {
			assert.Assert(t, !e.hasExited(), "%s has exited: %s", e.id, e.log.tail())
			status, ok := s.status(e)
			if !ok || !e.isReady(s) || len(status.Members) < len(s.instances) ||
				len(status.Endpoints) < s.siteConfig.engines+s.siteConfig.services+s.siteConfig.scorers {
				return false
			}
		}
		return true
	})
}

// isReady reports whether the instance answers /readyz with success.
func (e *entry) isReady(s *site) bool {
	return s.callJSON(http.MethodGet, "http://"+e.operatorAddress+"/readyz", nil, nil) == nil
}

// callJSON sends a JSON request with a timeout of 2 s and decodes the response into answer.
func (s *site) callJSON(method, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return jujubehttp.CallJSON(ctx, s.client, method, url, body, answer)
}

// status reads the status of an entry instance; ok is false when the instance doesn't answer.
func (s *site) status(e *entry) (status model.Status, ok bool) {
	return status, s.callJSON(http.MethodGet, "http://"+e.operatorAddress+"/v1/status", nil, &status) == nil
}

// setFaults replaces the injected faults of an emulator.
func (s *site) setFaults(t *testing.T, address string, faults any) {
	t.Helper()
	assert.NilError(t, s.callJSON(http.MethodPut, "http://"+address+"/faults", faults, nil))
}

// writeDocument writes the example document with an appended comment, which makes its digest unique, and returns the file.
func (s *site) writeDocument(t *testing.T, comment string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "vatuwaqa.yaml"))
	assert.NilError(t, err)
	file := filepath.Join(s.directory, "document-"+comment+".yaml")
	assert.NilError(t, os.WriteFile(file, []byte(fmt.Sprintf("%s\n# %s\n", strings.TrimSpace(string(data)), comment)), 0o600))
	return file
}

// publish publishes a document with jujubectl and returns the output and the exit code.
func (s *site) publish(t *testing.T, file string, flags ...string) (string, int) {
	t.Helper()
	arguments := append([]string{"--log", s.logAddress, "--timeout", "2s", "--author", "test", "publish"}, flags...)
	return runCtl(t, append(arguments, file)...)
}

// operatorFlags returns the jujubectl flags with the operator addresses of all running entry instances.
func (s *site) operatorFlags() []string {
	var flags []string
	for _, e := range s.instances {
		if !e.hasExited() {
			flags = append(flags, "--operator", e.operatorAddress)
		}
	}
	return flags
}

// callerAddresses returns the addresses on which the entry instances serve callers.
func (s *site) callerAddresses() []string {
	var addresses []string
	for _, e := range s.instances {
		addresses = append(addresses, e.callerAddress)
	}
	return addresses
}

// trainerSettings returns the settings of a trainer whose steps have 256 samples in groups of 8.
func (s *site) trainerSettings(steps int) jujubetrainer.Settings {
	return jujubetrainer.Settings{
		Trainer: "sump-policy", Model: modelName, DataCentre: dataCentres[0], Addresses: s.callerAddresses(), StoreURL: "http://" + s.storeAddress,
		Steps: steps, Groups: 32, GroupSize: 8, MaxTokens: 512, PromptBytes: 200, TrainTime: 100 * time.Millisecond,
		StalenessBound: 1, StepTimeout: conditionTimeout, Seed: 1,
	}
}

// runTrainer runs a trainer to its end. The trainer checks that every group is delivered once and complete, and that the
// labels cover each sample.
func runTrainer(t *testing.T, settings jujubetrainer.Settings) []jujubetrainer.StepResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
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

// event is a parsed log line of an entry instance; Line is the whole line.
type event struct {
	Time time.Time `json:"time"`
	Name string    `json:"msg"`
	Line string    `json:"-"`
}

// events returns the log lines of the event with the given name.
func (p *process) events(name string) []event {
	var events []event
	for line := range strings.SplitSeq(p.log.String(), "\n") {
		var e event
		if json.Unmarshal([]byte(line), &e) == nil && e.Name == name {
			e.Line = line
			events = append(events, e)
		}
	}
	return events
}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	return data
}
