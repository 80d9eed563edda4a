package jujubeslope

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/routers/jujubeserver"
	"jujubepier.example/entry/services/jujubeentry"
	"jujubepier.example/standin/services/jujubelist"
	"jujubepier.example/standin/services/jujubelog"
)

// site is a set of real entry instances on the loopback interface, with counting proxies in front of the log service and the
// instance list.
type site struct {
	engines        *stubEngines
	logProxy       *countingProxy
	listProxy      *countingProxy
	listURL        string
	logClient      *jujubeclient.LogClient
	entries        []*jujubeserver.Server
	killFuncs      []func()
	cleanups       []func()
	configRevision int64
}

// startSite starts the platform and the instances, and waits until all instances are ready and have a full view.
func startSite(ctx context.Context, instances, endpoints int) (*site, error) {
	s := &site{}
	if err := s.startPlatform(ctx, endpoints); err != nil {
		s.close()
		return nil, err
	}
	if err := s.publishConfig(ctx); err != nil {
		s.close()
		return nil, err
	}
	for i := range instances {
		if err := s.addEntry(ctx, i, "127.0.0.1:0"); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.waitFor(ctx, "start", time.Minute, s.isReady); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// close stops everything in the reverse order of its start.
func (s *site) close() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

func (s *site) startPlatform(ctx context.Context, endpoints int) error {
	logServer, closeLog, err := jujubelog.Start(ctx, jujubelog.DefaultSettings())
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, closeLog)
	settings := jujubelist.DefaultSettings()
	// The engines' entries are written only once, so they must not expire.
	settings.TTL, settings.Lag = 0, 0
	listServer, closeList, err := jujubelist.Start(ctx, settings)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, closeList)
	if s.logProxy, err = startCountingProxy(logServer.Address()); err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, s.logProxy.close)
	if s.listProxy, err = startCountingProxy(listServer.Address()); err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, s.listProxy.close)
	if s.engines, err = startStubEngines(endpoints); err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, s.engines.close)
	s.listURL = "http://" + listServer.Address()
	var closeLogs func()
	s.logClient, closeLogs = jujubeclient.NewLogClient(logServer.Address(), 5*time.Second)
	s.cleanups = append(s.cleanups, closeLogs)
	for _, endpoint := range s.engines.endpoints {
		if err := s.putListEntry(ctx, "/v1/endpoints/"+string(endpoint.ID), endpoint); err != nil {
			return err
		}
	}
	return nil
}

// putListEntry writes an instance or endpoint to the instance list, bypassing the counting proxy.
func (s *site) putListEntry(ctx context.Context, path string, entry any) error {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	return errors.Wrap(jujubehttp.CallJSON(ctx, client, http.MethodPut, s.listURL+path, entry, nil), "write to instance list: "+path)
}

// publishConfig appends a configuration change to the log.
func (s *site) publishConfig(ctx context.Context) error {
	change := &model.ConfigChange{
		ID: time.Now().String(), Base: s.configRevision, Document: Document(len(s.engines.endpoints)), Author: "slopes",
	}
	_, err := s.logClient.Append(ctx, model.StreamConfig, model.ConfigRecord{Change: change})
	s.configRevision++
	return err
}

// addEntry starts instance i and lists it; an index that exists already replaces the instance.
func (s *site) addEntry(ctx context.Context, i int, peerAddress string) error {
	settings := jujubeentry.DefaultSettings()
	member := newMember(i)
	settings.Instance, settings.DataCentre = member.ID, member.DataCentre
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", peerAddress, "127.0.0.1:0"
	settings.LogAddress, settings.ListAddress = s.logProxy.address(), s.listProxy.address()
	logger, err := jujubeevent.NewLogger(io.Discard, "error", "json")
	if err != nil {
		return err
	}
	logger.SetLevel(logrus.PanicLevel)
	server, kill, err := jujubeserver.Start(ctx, settings, logger)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, kill)
	member.Incarnation = server.Service.Status().Incarnation
	member.PeerAddress, member.CallerAddress = server.Settings.PeerAddress, server.Settings.CallerAddress
	if err := s.putListEntry(ctx, "/v1/entries/"+string(member.ID), member); err != nil {
		return err
	}
	if i == len(s.entries) {
		s.entries, s.killFuncs = append(s.entries, server), append(s.killFuncs, kill)
	} else {
		s.entries[i], s.killFuncs[i] = server, kill
	}
	return nil
}

// waitFor polls until done returns true, and fails after the timeout.
func (s *site) waitFor(ctx context.Context, what string, timeout time.Duration, done func() bool) error {
	const pollPeriod = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !done() {
		if !sleep(ctx, pollPeriod) {
			return errors.New(what + ": not done after " + timeout.String())
		}
	}
	return nil
}

// sleep waits for a duration and reports whether it passed before ctx was done.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *site) isReady() bool {
	for i := range s.entries {
		if !s.hasFullView(i) {
			return false
		}
	}
	return true
}

// hasFullView reports whether an instance is ready and has a record of all members and endpoints.
func (s *site) hasFullView(i int) bool {
	status := s.entries[i].Service.Status()
	return status.Ready && len(status.Members) == len(s.entries) && len(status.Endpoints) == len(s.engines.endpoints)
}

// hasAllLoadReports reports whether an instance has a load report of each endpoint that it watches.
func (s *site) hasAllLoadReports(i int) bool {
	for _, endpoint := range s.entries[i].Service.Status().Endpoints {
		if endpoint.Watched && endpoint.Load.At.IsZero() {
			return false
		}
	}
	return true
}
