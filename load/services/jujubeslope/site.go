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

// site is a number of real entry instances on loopback, with meters before the log and the instance list.
type site struct {
	engines *engines
	log     *meter
	list    *meter
	listURL string
	logs    *jujubeclient.LogClient
	entries []*jujubeserver.Server
	kill    []func()
	cleanUp []func()
	base    int64
}

// startSite starts the platform and the instances and waits until all are ready.
func startSite(ctx context.Context, instances, endpoints int) (*site, error) {
	s := &site{}
	if err := s.startPlatform(ctx, endpoints); err != nil {
		s.close()
		return nil, err
	}
	if err := s.publish(ctx); err != nil {
		s.close()
		return nil, err
	}
	for i := range instances {
		if err := s.addEntry(ctx, i, "127.0.0.1:0"); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.wait(ctx, "start", time.Minute, s.isReady); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) close() {
	for i := len(s.cleanUp) - 1; i >= 0; i-- {
		s.cleanUp[i]()
	}
}

func (s *site) startPlatform(ctx context.Context, endpoints int) error {
	logServer, closeLog, err := jujubelog.Start(ctx, jujubelog.DefaultSettings())
	if err != nil {
		return err
	}
	s.cleanUp = append(s.cleanUp, closeLog)
	settings := jujubelist.DefaultSettings()
	// The rows of the engines are written once and live for ever.
	settings.TTL, settings.Lag = 0, 0
	listServer, closeList, err := jujubelist.Start(ctx, settings)
	if err != nil {
		return err
	}
	s.cleanUp = append(s.cleanUp, closeList)
	if s.log, err = startMeter(logServer.Address()); err != nil {
		return err
	}
	s.cleanUp = append(s.cleanUp, s.log.close)
	if s.list, err = startMeter(listServer.Address()); err != nil {
		return err
	}
	s.cleanUp = append(s.cleanUp, s.list.close)
	if s.engines, err = startEngines(endpoints); err != nil {
		return err
	}
	s.cleanUp = append(s.cleanUp, s.engines.close)
	s.listURL = "http://" + listServer.Address()
	var closeLogs func()
	s.logs, closeLogs = jujubeclient.NewLogClient(logServer.Address(), 5*time.Second)
	s.cleanUp = append(s.cleanUp, closeLogs)
	for _, row := range s.engines.rows {
		if err := s.putRow(ctx, "/v1/endpoints/"+string(row.ID), row); err != nil {
			return err
		}
	}
	return nil
}

// putRow writes a row to the instance list, past the meter.
func (s *site) putRow(ctx context.Context, path string, row any) error {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	return errors.Wrap(jujubehttp.Call(ctx, client, http.MethodPut, s.listURL+path, row, nil), "list "+path)
}

// publish appends a configuration change.
func (s *site) publish(ctx context.Context) error {
	change := &model.ConfigChange{ID: time.Now().String(), Base: s.base, Document: Document(len(s.engines.rows)), Author: "slopes"}
	_, err := s.logs.Append(ctx, model.StreamConfig, model.ConfigRecord{Change: change})
	s.base++
	return err
}

func (s *site) addEntry(ctx context.Context, i int, peerAddress string) error {
	settings := jujubeentry.DefaultSettings()
	member := newMember(i)
	settings.Instance, settings.DataCentre = member.ID, member.DataCentre
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", peerAddress, "127.0.0.1:0"
	settings.LogAddress, settings.ListAddress = s.log.address(), s.list.address()
	logger, err := jujubeevent.NewLogger(io.Discard, "error", "json")
	if err != nil {
		return err
	}
	logger.SetLevel(logrus.PanicLevel)
	server, kill, err := jujubeserver.Start(ctx, settings, logger)
	if err != nil {
		return err
	}
	s.cleanUp = append(s.cleanUp, kill)
	member.Incarnation = server.Service.Status().Incarnation
	member.PeerAddress, member.CallerAddress = server.Settings.PeerAddress, server.Settings.CallerAddress
	if err := s.putRow(ctx, "/v1/entries/"+string(member.ID), member); err != nil {
		return err
	}
	if i == len(s.entries) {
		s.entries, s.kill = append(s.entries, server), append(s.kill, kill)
	} else {
		s.entries[i], s.kill[i] = server, kill
	}
	return nil
}

// wait polls until done.
func (s *site) wait(ctx context.Context, what string, most time.Duration, done func() bool) error {
	const poll = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !done() {
		if !sleep(ctx, poll) {
			return errors.New(what + ": not done after " + most.String())
		}
	}
	return nil
}

// sleep waits and tells whether the context is still alive.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
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
		if !s.isRebuilt(i) {
			return false
		}
	}
	return true
}

// isRebuilt tells whether an instance serves, sees the others, and knows the endpoints.
func (s *site) isRebuilt(i int) bool {
	status := s.entries[i].Service.Status()
	return status.Ready && len(status.Members) == len(s.entries) && len(status.Endpoints) == len(s.engines.rows)
}

// isLoaded tells whether an instance has a report of each endpoint that it watches.
func (s *site) isLoaded(i int) bool {
	for _, row := range s.entries[i].Service.Status().Endpoints {
		if row.Watched && row.Load.At.IsZero() {
			return false
		}
	}
	return true
}
