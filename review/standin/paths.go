package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// sendRaw sends a request with a target exactly as it is written, on a new channel.
func sendRaw(address, method, target, id string, deadline time.Duration, body string) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, target, host, id, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, data, err}
}

// pathService is a plain service with one route.
type pathService struct{ name, prefix string }

// newPathSite starts three nodes and, for each service, two servers and a route.
func newPathSite(directory, recordPath string, services []pathService) (*site, error) {
	s, err := newSite(directory, recordPath, 3, []int{189, 244})
	if err != nil {
		return nil, err
	}
	var routes, described []map[string]any
	for _, service := range services {
		for i := range 2 {
			if err := s.addServer(&server{id: fmt.Sprintf("i-%s-%d", service.name, i), service: service.name, zone: zones[i], slots: 6}); err != nil {
				return nil, err
			}
		}
		routes = append(routes, map[string]any{
			"name": "r-" + service.name, "host": host, "path_prefix": service.prefix, "kind": "safe", "timeout_ms": 1500,
			"target_latency_ms": 150, "priority": 2, "service": service.name, "max_attempts": 2,
		})
		described = append(described, map[string]any{
			"name": service.name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false,
		})
	}
	s.putConfig(routes, described)
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the nodes are in touch
	return s, nil
}

// sendTargets sends each target to each node.
func (s *site) sendTargets(targets []string) map[string]string {
	sent := map[string]string{}
	for k, target := range targets {
		for i, n := range s.nodes {
			id := fmt.Sprintf("%04x%02x", k, i)
			sent[id] = target
			s.record.line("sent", "id", id, "node", n.name, "target", target)
			a := sendRaw(n.front, http.MethodPost, target, id, 1500*time.Millisecond, "lookup")
			s.record.line("answered", "id", id, "answer", a.String(), "stamp", a.header.Get("X-Server-Stamp"))
			time.Sleep(50 * time.Millisecond)
		}
	}
	return sent
}

// runEncoded sends requests to two services whose path prefixes are nested, some of them with an encoded slash in a segment. A request
// has to run at the service with the longest prefix that begins its path.
func runEncoded(directory, recordPath string, trouble bool) (bool, error) {
	services := []pathService{{"records", "/dojo/"}, {"grading", "/dojo/private/"}}
	s, err := newPathSite(directory, recordPath, services)
	if err != nil {
		return false, err
	}
	var targets []string
	for k := range 10 {
		targets = append(targets, fmt.Sprintf("/dojo/%d", k), fmt.Sprintf("/dojo/private/%d", k), fmt.Sprintf("/dojo/open%%2F%d", k))
		if trouble {
			targets = append(targets, fmt.Sprintf("/dojo/private%%2F%d", k))
		}
	}
	sent := s.sendTargets(targets)
	wrong, ran := 0, 0
	for _, line := range s.record.lines {
		if line[0] != "run" {
			continue
		}
		ran++
		server, id := line[2], line[4]
		var selected pathService
		for _, service := range services {
			if strings.HasPrefix(sent[id], service.prefix) && len(service.prefix) > len(selected.prefix) {
				selected = service
			}
		}
		if !strings.HasPrefix(server, "i-"+selected.name+"-") {
			wrong++
			s.record.line("wrong", "id", id, "target", sent[id], "selected", selected.name, "ran-at", server)
		}
	}
	s.record.line("verdict", "requests-run", fmt.Sprint(ran), "at-the-wrong-service", fmt.Sprint(wrong))
	return wrong > 0, nil
}

// runSlashes sends requests to a service whose route has the prefix /, some of them with a path that begins with two slashes. Each has to
// reach its server with the path that the client sent.
func runSlashes(directory, recordPath string, trouble bool) (bool, error) {
	s, err := newPathSite(directory, recordPath, []pathService{{"records", "/"}})
	if err != nil {
		return false, err
	}
	var targets []string
	for k := range 10 {
		targets = append(targets, fmt.Sprintf("/dojo/%d", k), fmt.Sprintf("/dojo//%d", k), fmt.Sprintf("/dojo/%d?of=%d", k, k))
		if trouble {
			targets = append(targets, fmt.Sprintf("//dojo/%d", k))
		}
	}
	sent := s.sendTargets(targets)
	changed, ran := 0, 0
	for _, line := range s.record.lines {
		if line[0] != "run" {
			continue
		}
		ran++
		// line is: run server S id ID method M target T ...
		if id, target := line[4], line[8]; target != sent[id] {
			changed++
			s.record.line("changed", "id", id, "sent", sent[id], "ran", target)
		}
	}
	s.record.line("verdict", "requests-run", fmt.Sprint(ran), "with-another-path", fmt.Sprint(changed))
	return changed > 0, nil
}
