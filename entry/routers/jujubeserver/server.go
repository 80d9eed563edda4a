// Package jujubeserver sets up an entry instance: its listeners, routers and service.
package jujubeserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/modules/jujubeguard"
	"jujubepier.example/entry/routers/jujubecallerapi"
	"jujubepier.example/entry/routers/jujubeoperatorapi"
	"jujubepier.example/entry/routers/jujubepeerapi"
	"jujubepier.example/entry/services/jujubeentry"
)

// closeTimeout bounds the wait for responses that are still being written when the service has ended.
const closeTimeout = 5 * time.Second

// Server is a running entry instance.
type Server struct {
	// Settings contains the actual addresses, with the assigned port where port 0 was configured.
	Settings jujubeentry.Settings
	Service  *jujubeentry.Service
	// Done is closed when the instance has ended; Err is set before that.
	Done chan struct{}
	Err  error

	callers   *jujubehttp.Server
	operators *jujubehttp.Server
}

// Start runs an instance until the context ends; then the instance shuts down gracefully and Done is closed. The returned
// function stops the instance immediately, without the graceful shutdown, and waits for its end.
func Start(ctx context.Context, settings jujubeentry.Settings, logger *logrus.Logger) (*Server, func(), error) {
	listeners, err := listenAll(&settings)
	if err != nil {
		return nil, nil, err
	}
	service, cleanService, err := jujubeentry.New(settings, logger, time.Now())
	if err != nil {
		listeners.close()
		return nil, nil, err
	}
	s := &Server{Settings: settings, Service: service, Done: make(chan struct{})}
	log := jujubeevent.NewLog(logger)
	guard := jujubeguard.New(settings.GuardSettings(), log, service.MetricsSet())
	service.RelieveBodies(guard.Relieve)
	callers := newHTTPServer(settings, log, limitBody(jujubecallerapi.New(service, settings.MaxBodyBytes), settings.BodyTimeout))
	s.callers = jujubehttp.Serve(callers, guard.Listen(listeners.callers))
	s.operators = jujubehttp.Serve(newHTTPServer(settings, log, jujubeoperatorapi.New(service)), guard.Listen(listeners.operators))
	peersCtx, stopPeers := context.WithCancel(context.Background())
	failures := make(chan error, 4)
	go func() { failures <- <-s.callers.ServeError() }()
	go func() { failures <- <-s.operators.ServeError() }()
	go func() { failures <- jujubepeerapi.Serve(peersCtx, guard.ListenPeers(listeners.peers), service) }()
	go func() { failures <- guard.Run(peersCtx) }()
	go s.run(ctx, stopPeers, cleanService, failures, logger)
	kill := func() {
		service.Kill()
		s.callers.Close()
		s.operators.Close()
		stopPeers()
		<-s.Done
	}
	return s, kill, nil
}

// run runs the service and stops the instance when the service ends or a listener fails.
func (s *Server) run(ctx context.Context, stopPeers, cleanup func(), failures <-chan error, logger *logrus.Logger) {
	defer close(s.Done)
	ended := make(chan error, 1)
	go func() { ended <- s.Service.Run(ctx) }()
	stopped := 0
	select {
	case s.Err = <-ended:
	case err := <-failures:
		stopped = 1
		if err != nil {
			s.Err = err
			jujubeevent.NewLog(logger).Write(jujubeevent.ServerFailed, func() logrus.Fields {
				return logrus.Fields{"Error": err.Error()}
			})
		}
		s.Service.Kill()
		<-ended
	}
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Responses that are still being written after closeTimeout are cut off.
	s.callers.Shutdown(closeCtx)
	s.operators.Shutdown(closeCtx)
	stopPeers()
	for ; stopped < cap(failures); stopped++ {
		<-failures
	}
	cleanup()
}

type listenerSet struct{ callers, peers, operators net.Listener }

func (l listenerSet) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// listenAll opens the listeners and writes their actual addresses into the settings.
func listenAll(settings *jujubeentry.Settings) (listenerSet, error) {
	var set listenerSet
	for _, binding := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&settings.CallerAddress, &set.callers},
		{&settings.PeerAddress, &set.peers},
		{&settings.OperatorAddress, &set.operators},
	} {
		listener, err := net.Listen("tcp", *binding.address)
		if err != nil {
			set.close()
			return set, errors.Wrap(err, "listen")
		}
		*binding.listener, *binding.address = listener, listener.Addr().String()
	}
	return set, wrapTLS(settings.TLS, &set)
}

// wrapTLS adds TLS to the callers' and operators' listeners when a certificate is configured.
func wrapTLS(settings jujubeentry.TLSSettings, set *listenerSet) error {
	if settings.CertificateFile == "" {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		set.close()
		return errors.Wrap(err, "load certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	set.callers = tls.NewListener(set.callers, config)
	set.operators = tls.NewListener(set.operators, config)
	return nil
}

func newHTTPServer(settings jujubeentry.Settings, log *jujubeevent.Log, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: jujubeguard.LogPanics(handler, log), ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: settings.MaxHeaderBytes,
	}
}
