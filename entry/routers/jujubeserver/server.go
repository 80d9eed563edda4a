// Package jujubeserver assembles an entry instance: its listeners, routers and service.
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
	"jujubepier.example/entry/routers/jujubecallerapi"
	"jujubepier.example/entry/routers/jujubeoperatorapi"
	"jujubepier.example/entry/routers/jujubepeerapi"
	"jujubepier.example/entry/services/jujubeentry"
)

// closeTimeout bounds the wait for answers that are being written when the service has ended.
const closeTimeout = 5 * time.Second

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 64 << 10

// Server is a running entry instance.
type Server struct {
	// Settings hold the real addresses, also where port 0 was asked for.
	Settings jujubeentry.Settings
	Service  *jujubeentry.Service
	// Done is closed when the instance has ended; Err is set before.
	Done chan struct{}
	Err  error

	callers   *jujubehttp.Server
	operators *jujubehttp.Server
}

// Start listens and serves until the context ends; then the instance shuts down gracefully and Done is closed. The
// clean-up function ends the instance at once, without the graceful part, and waits.
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
	callers := newHTTPServer(settings, limitBody(jujubecallerapi.New(service, settings.MaxBodyBytes), settings.BodyTimeout))
	s.callers = jujubehttp.Serve(callers, listeners.callers)
	s.operators = jujubehttp.Serve(newHTTPServer(settings, jujubeoperatorapi.New(service)), listeners.operators)
	serving, stop := context.WithCancel(context.Background())
	failures := make(chan error, 3)
	go func() { failures <- <-s.callers.Failed() }()
	go func() { failures <- <-s.operators.Failed() }()
	go func() { failures <- jujubepeerapi.Serve(serving, listeners.peers, service) }()
	go s.run(ctx, stop, cleanService, failures, logger)
	kill := func() {
		service.Kill()
		s.callers.Close()
		s.operators.Close()
		stop()
		<-s.Done
	}
	return s, kill, nil
}

// run ends the instance when its service ends or a listener fails.
func (s *Server) run(ctx context.Context, stop, clean func(), failures <-chan error, logger *logrus.Logger) {
	defer close(s.Done)
	ended := make(chan error, 1)
	go func() { ended <- s.Service.Run(ctx) }()
	failed := 0
	select {
	case s.Err = <-ended:
	case err := <-failures:
		failed = 1
		if err != nil {
			s.Err = err
			jujubeevent.NewLog(logger).Write(jujubeevent.ServerFailed, func() logrus.Fields {
				return logrus.Fields{"Error": err.Error()}
			})
		}
		s.Service.Kill()
		<-ended
	}
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Answers that are still being written get closeTimeout; what is left then is cut off.
	s.callers.Shutdown(closing)
	s.operators.Shutdown(closing)
	stop()
	for ; failed < cap(failures); failed++ {
		<-failures
	}
	clean()
}

type listenerSet struct{ callers, peers, operators net.Listener }

func (l listenerSet) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// listenAll opens the listeners and writes their real addresses into the settings.
func listenAll(settings *jujubeentry.Settings) (listenerSet, error) {
	var set listenerSet
	for _, one := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&settings.CallerAddress, &set.callers},
		{&settings.PeerAddress, &set.peers},
		{&settings.OperatorAddress, &set.operators},
	} {
		listener, err := net.Listen("tcp", *one.address)
		if err != nil {
			set.close()
			return set, errors.Wrap(err, "listen")
		}
		*one.listener, *one.address = listener, listener.Addr().String()
	}
	return set, wrapTLS(settings.TLS, &set)
}

// wrapTLS adds TLS to the callers' and operators' listeners when a certificate is set.
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

func newHTTPServer(settings jujubeentry.Settings, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
}
