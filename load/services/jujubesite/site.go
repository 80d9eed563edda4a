// Package jujubesite runs a whole site in one process on loopback: the emulated platform, the emulated endpoints and the
// entry instances. Demonstrations, tests and benchmarks use it.
package jujubesite

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/routers/jujubeserver"
	"jujubepier.example/entry/services/jujubeentry"
	"jujubepier.example/standin/services/jujubeengine"
	"jujubepier.example/standin/services/jujubelist"
	"jujubepier.example/standin/services/jujubelog"
	"jujubepier.example/standin/services/jujubescorer"
	"jujubepier.example/standin/services/jujubeservice"
	"jujubepier.example/standin/services/jujubestore"
)

// Settings configures a site.
type Settings struct {
	DataCentres []model.DataCentre
	Model       model.ModelName
	Service     model.ServiceName
	Scorer      model.ServiceName
	Engines     int
	Services    int
	Scorers     int
	Entries     int
	// Document is the environment document that is published at the start.
	Document string
	Engine   jujubeengine.Settings
	// SoftwareVersions are those of the engines, in turn; empty for the version of Engine.
	SoftwareVersions []model.SoftwareVersion
	Log              jujubelog.Settings
	Store            jujubestore.Settings
	List             jujubelist.Settings
	// Policy is the name of the entry instances' load-balancing policy; empty for the default.
	Policy string
	// AddressValidity is how long callers may use an address response. Tests that shut instances down use a shorter time
	// than production.
	AddressValidity time.Duration
	LogLevel        string
	// LogOutput receives the log lines of all entry instances; nil discards them.
	LogOutput io.Writer
}

// VatuwaqaSettings returns settings with the size of the Vatuwaqa site and an accelerated engine model: times are a tenth of the
// real ones.
func VatuwaqaSettings(document string) Settings {
	settings := baseSettings(document)
	settings.DataCentres = []model.DataCentre{"suva-a", "suva-b", "nadi-a", "lautoka-a"}
	settings.Model, settings.Service = "faultserve", "pumplog"
	settings.Engines, settings.Services = 10, 4
	return settings
}

// HimalDanSettings returns settings with the size of the Himal Dan site and the engine model of Vatuwaqa.
func HimalDanSettings(document string) Settings {
	settings := baseSettings(document)
	settings.DataCentres = []model.DataCentre{"ktm-a", "ktm-b", "ktm-c"}
	settings.Model, settings.Service = "dan-llm", "belt-app"
	settings.Engines, settings.Services = 10, 3
	return settings
}

// baseSettings returns the settings that the sites share.
func baseSettings(document string) Settings {
	engine := jujubeengine.DefaultSettings()
	engine.Slots = 32
	engine.TokensPerSecond = 1000
	engine.BatchSlowdown = 0.01
	engine.MedianTokens, engine.SigmaTokens = 120, 0.8
	engine.SwapTime = 300 * time.Millisecond
	engine.LoadLag = 100 * time.Millisecond
	store := jujubestore.DefaultSettings()
	store.BytesPerSecond *= 10
	return Settings{
		Scorer: "scorer", Scorers: 2, Entries: 9, Document: document, Engine: engine,
		Log: jujubelog.DefaultSettings(), Store: store, List: jujubelist.DefaultSettings(),
		AddressValidity: 20 * time.Second, LogLevel: "info",
	}
}

// Site is a running site. Its endpoints and entry instances are in the order of their numbers.
type Site struct {
	Settings Settings
	Log      *jujubelog.Server
	List     *jujubelist.Server
	Store    *jujubestore.Server
	Engines  []*jujubeengine.Server
	Scorers  []*jujubescorer.Server
	Services []*jujubeservice.Server
	Entries  []*jujubeserver.Server

	client   *http.Client
	cleanups []func()
	// killEntry holds a function for each index of Entries that stops the instance without a graceful shutdown.
	killEntry []func()
}

// Start starts a site, publishes its document and waits until every entry instance is ready. The returned function stops
// the site.
func Start(ctx context.Context, settings Settings) (*Site, func(), error) {
	s := &Site{Settings: settings, client: &http.Client{Timeout: 5 * time.Second}}
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

// close stops all servers in the reverse order of their start.
func (s *Site) close() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
	s.client.CloseIdleConnections()
}

// addCleanup registers the cleanup function of a server that has started, and returns the server and the error unchanged.
func addCleanup[T any](s *Site, server T, cleanup func(), err error) (T, error) {
	if err == nil {
		s.cleanups = append(s.cleanups, cleanup)
	}
	return server, err
}

func (s *Site) start(ctx context.Context) (err error) {
	if s.Log, err = startEmulator(ctx, s, jujubelog.Start, s.Settings.Log); err != nil {
		return err
	}
	if s.List, err = startEmulator(ctx, s, jujubelist.Start, s.Settings.List); err != nil {
		return err
	}
	if s.Store, err = startEmulator(ctx, s, jujubestore.Start, s.Settings.Store); err != nil {
		return err
	}
	if err := s.startEndpoints(ctx); err != nil {
		return err
	}
	if err := s.Publish(ctx, s.Settings.Document); err != nil {
		return err
	}
	for range s.Settings.Entries {
		if _, err := s.AddEntry(ctx); err != nil {
			return err
		}
	}
	return s.WaitReady(ctx)
}

// startEmulator starts one emulator and registers its cleanup function.
func startEmulator[S, T any](
	ctx context.Context, s *Site, start func(context.Context, S) (T, func(), error), settings S,
) (T, error) {
	server, cleanup, err := start(ctx, settings)
	return addCleanup(s, server, cleanup, err)
}

func (s *Site) startEndpoints(ctx context.Context) error {
	listURL := "http://" + s.List.Address()
	for i := range s.Settings.Engines {
		engine := s.Settings.Engine
		engine.ID = model.EndpointID(fmt.Sprintf("%s-%02d", s.Settings.Model, i))
		engine.DataCentre, engine.Model, engine.ListURL = s.dataCentre(i), s.Settings.Model, listURL
		engine.StoreURL = "http://" + s.Store.Address()
		if versions := s.Settings.SoftwareVersions; len(versions) > 0 {
			engine.SoftwareVersion = versions[i%len(versions)]
		}
		server, err := startEmulator(ctx, s, jujubeengine.Start, engine)
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, server)
	}
	if err := s.startServices(ctx, listURL); err != nil {
		return err
	}
	return s.startScorers(ctx, listURL)
}

func (s *Site) startServices(ctx context.Context, listURL string) error {
	for i := range s.Settings.Services {
		settings := jujubeservice.DefaultSettings()
		settings.ID, settings.Service = s.endpointID(s.Settings.Service, i), s.Settings.Service
		settings.DataCentre, settings.ListURL = s.dataCentre(i), listURL
		server, err := startEmulator(ctx, s, jujubeservice.Start, settings)
		if err != nil {
			return err
		}
		s.Services = append(s.Services, server)
	}
	return nil
}

func (s *Site) startScorers(ctx context.Context, listURL string) error {
	for i := range s.Settings.Scorers {
		settings := jujubescorer.DefaultSettings()
		settings.ID, settings.Service = s.endpointID(s.Settings.Scorer, i), s.Settings.Scorer
		settings.DataCentre, settings.ListURL = s.dataCentre(i), listURL
		server, err := startEmulator(ctx, s, jujubescorer.Start, settings)
		if err != nil {
			return err
		}
		s.Scorers = append(s.Scorers, server)
	}
	return nil
}

func (*Site) endpointID(service model.ServiceName, i int) model.EndpointID {
	return model.EndpointID(fmt.Sprintf("%s-%02d", service, i))
}

func (s *Site) dataCentre(i int) model.DataCentre {
	return s.Settings.DataCentres[i%len(s.Settings.DataCentres)]
}

// AddEntry starts another entry instance. It doesn't wait until the instance is ready.
func (s *Site) AddEntry(ctx context.Context) (*jujubeserver.Server, error) {
	index := len(s.Entries)
	settings := jujubeentry.DefaultSettings()
	settings.Instance = model.InstanceID(fmt.Sprintf("entry-%02d", index))
	settings.DataCentre = s.dataCentre(index)
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.LogAddress, settings.ListAddress = s.Log.Address(), s.List.Address()
	settings.Register = true
	settings.Policy = s.Settings.Policy
	settings.AddressValidity = s.Settings.AddressValidity
	output := s.Settings.LogOutput
	if output == nil {
		output = io.Discard
	}
	logger, err := jujubeevent.NewLogger(output, s.Settings.LogLevel, "json")
	if err != nil {
		return nil, err
	}
	if s.Settings.LogOutput == nil {
		logger.SetLevel(logrus.PanicLevel)
	}
	server, kill, err := jujubeserver.Start(ctx, settings, logger)
	if err != nil {
		return nil, err
	}
	s.cleanups = append(s.cleanups, kill)
	s.killEntry = append(s.killEntry, kill)
	s.Entries = append(s.Entries, server)
	return server, nil
}

// KillEntry stops an entry instance without a graceful shutdown.
func (s *Site) KillEntry(index int) { s.killEntry[index]() }

// Publish appends a document to the configuration stream as a change based on revision 0, which is accepted only as
// the first one.
func (s *Site) Publish(ctx context.Context, document string) error {
	client, closeClient := jujubeclient.NewLogClient(s.Log.Address(), s.client.Timeout)
	defer closeClient()
	_, err := client.Append(ctx, model.StreamConfig, model.ConfigRecord{Change: &model.ConfigChange{
		ID: fmt.Sprintf("site-%d", time.Now().UnixNano()), Document: document, Author: "site",
	}})
	return errors.Wrap(err, "publish")
}

// WaitReady waits until every entry instance is ready and lists all endpoints and all entry instances.
func (s *Site) WaitReady(ctx context.Context) error {
	const (
		readyTimeout = 30 * time.Second
		readyPoll    = 50 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !s.isReady() {
		select {
		case <-ctx.Done():
			return errors.New("the entry instances are not ready within " + readyTimeout.String())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (s *Site) isReady() bool {
	endpoints := len(s.Engines) + len(s.Services) + len(s.Scorers)
	for _, entry := range s.Entries {
		status := entry.Service.Status()
		if !status.Ready || len(status.Endpoints) < endpoints || len(status.Members) < len(s.Entries) {
			return false
		}
	}
	return true
}

// Addresses returns the addresses on which the entry instances serve callers.
func (s *Site) Addresses() []string {
	addresses := make([]string, 0, len(s.Entries))
	for _, entry := range s.Entries {
		addresses = append(addresses, entry.Settings.CallerAddress)
	}
	return addresses
}

// StoreURL returns the base URL of the weight store.
func (s *Site) StoreURL() string { return "http://" + s.Store.Address() }

// CallJSON sends a JSON request to an emulator and decodes its response into answer.
func (s *Site) CallJSON(ctx context.Context, method, url string, body, answer any) error {
	return jujubehttp.CallJSON(ctx, s.client, method, url, body, answer)
}

// ReadDocument reads an environment document from a file, and makes it end with a single newline.
func ReadDocument(file string) (string, error) {
	data, err := os.ReadFile(file)
	return strings.TrimSpace(string(data)) + "\n", errors.Wrap(err, "read document")
}
