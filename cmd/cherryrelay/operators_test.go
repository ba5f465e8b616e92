package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/management"
	"cherryrelay/internal/peer"
)

// request sends a request to the management address.
func (f *fixture) request(method, path string) (status int, body string) {
	f.Helper()
	r, err := http.NewRequest(method, "http://"+f.node.manage.Address()+path, nil)
	f.must(err)
	client := &http.Client{Timeout: peer.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	f.must(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	f.must(err)
	return resp.StatusCode, string(text)
}

// get sends a GET request to a management address. Status 0 means that there is no answer.
func (f *fixture) get(address, path string) (status int, body string) {
	client := &http.Client{Timeout: peer.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// recordStatus records the status that an operator gets.
func (f *fixture) recordStatus(method, path string) {
	f.Helper()
	status, _ := f.request(method, path)
	f.record("operator: %s %d", path, status)
}

func (f *fixture) expectClosed(c *peer.Caller) {
	f.Helper()
	if m, err := c.Next(); err == nil {
		f.Fatalf("the caller got %+v, want a close", m)
	}
}

// TestEvacuation: an evacuated controller used to report that it accepts calls, and kept its callers.
func TestEvacuation(t *testing.T) {
	runScenario(t, []string{
		"operator: /api/ready 200", "d0: setup 1 x", "caller: answer 1 y", "d1: setup 2 x",
		"operator: /api/evacuate 200", "operator: /api/ready 503", "caller: pong  0", "operator: /api/evacuate 200",
		"caller: release 3 42 wait 100", "caller: answer 2 y", "caller: release 1 16",
		"operator: /api/rejoin 200", "operator: /api/ready 200", "caller: pong  1", "caller: release 2 16",
		"d1: setup 4 x", "operator: /api/evacuate 200", "operator: /api/rejoin 200", "caller: answer 4 y", "caller: pong  1",
		"operator: /api/evacuate 200",
	}, func(f *fixture) {
		idle, established, busy := f.newCaller(), f.newCaller(), f.newCaller()
		f.recordStatus("GET", "/api/ready")
		f.must(established.SetUp(id(1), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(established)
		f.must(busy.SetUp(id(2), longTimeout, 1, "x"))
		open := f.recordEvent(1)
		f.recordStatus("POST", "/api/evacuate")
		f.recordStatus("GET", "/api/ready")
		f.must(busy.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		f.recordMessage(busy)
		f.recordStatus("POST", "/api/evacuate") // the second request changes nothing
		f.expectClosed(idle)
		time.Sleep(1300 * time.Millisecond) // by then new callers are refused; later would do as well
		f.must(busy.SetUp(id(3), longTimeout, 1, "x"))
		f.recordMessage(busy)
		f.must(open.Answer("y"))
		f.recordMessage(busy)
		f.must(f.dispatchers[0].Release(id(1), 16))
		f.recordMessage(established) // the established call ends while its caller is connected
		f.expectClosed(established)
		f.must(busy.Close())
		f.waitAck(1)
		f.must(f.dispatchers[1].Release(id(2), 16)) // while no caller is connected
		f.recordStatus("POST", "/api/rejoin")
		f.recordStatus("GET", "/api/ready")
		healthCheck := f.connect() // it takes the next message as its result; after the end of a call, callers stayed away
		f.must(healthCheck.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		f.recordMessage(healthCheck)
		c := f.connect()
		f.recordMessage(c)
		// An evacuation that is cancelled half-way closes no connection, and pending calls continue.
		f.must(c.SetUp(id(4), longTimeout, 1, "x"))
		open = f.recordEvent(1)
		f.recordStatus("POST", "/api/evacuate")
		f.recordStatus("POST", "/api/rejoin")
		f.must(open.Answer("y"))
		f.recordMessage(c)
		f.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		f.recordMessage(c)
		// A shutdown can follow during an evacuation.
		f.recordStatus("POST", "/api/evacuate")
		f.node.drain()
		f.must(<-f.done)
	})
}

// TestManagementAddress: the valid and invalid requests of operators; idle connections do not block other operators.
func TestManagementAddress(t *testing.T) {
	f := newFixture(t, "tcp", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	f.newCaller()
	const idle = 40 // far more than are kept open
	shut := make(chan struct{}, idle)
	for range idle {
		nc, err := net.Dial("tcp", f.node.manage.Address())
		f.must(err)
		t.Cleanup(func() { _ = nc.Close() })
		_, err = io.WriteString(nc, "GET /api/re")
		f.must(err)
		go func() { _, _ = nc.Read(make([]byte, 1)); shut <- struct{}{} }()
	}
	for range idle - management.MaxConnections { // all have been accepted then; a later one would close one of the connections below
		<-shut
	}
	for _, test := range []struct{ send, want, has string }{
		{"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n", "200 OK", "Connection: close"},
		{"GET /api/ready?x HTTP/1.1\nHost: h\n\n", "200 OK", "\r\n\r\nready\n"},
		{"POST /api/rejoin HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}", "200 OK", ""},
		{"DELETE /api/ready HTTP/1.1\r\nHost: h\r\n\r\n", "405 Method Not Allowed", "Allow: GET"},
		{"GET /api/evacuate HTTP/1.1\r\nHost: h\r\n\r\n", "405 Method Not Allowed", "Allow: POST"},
		{"GET /api HTTP/1.1\r\nHost: h\r\n\r\n", "404 Not Found", ""},
		{"GET /api/ready HTTP/1.1\r\n\r\n", "400 Bad Request", ""},
		{"\r\n", "400 Bad Request", ""},
		{"ping\r\n\r\n", "400 Bad Request", ""},
		{"GET /api/ready HTTP/1.1\r\nHost : h\r\n\r\n", "400 Bad Request", ""},
		{"POST /api/rejoin HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", "400 Bad Request", ""},
		{"POST /api/rejoin HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "400 Bad Request", ""},
		{"POST /api/rejoin HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "400 Bad Request", ""},
		{"GET /" + strings.Repeat("a", 8<<10-4), "400 Bad Request", ""}, // one byte too long
	} {
		nc, err := net.Dial("tcp", f.node.manage.Address())
		f.must(err)
		_, err = io.WriteString(nc, test.send)
		f.must(err)
		f.must(nc.SetReadDeadline(time.Now().Add(peer.Timeout)))
		answer, err := io.ReadAll(nc) // to the end: the controller closes the connection
		f.must(err)
		f.must(nc.Close())
		first, rest, _ := strings.Cut(string(answer), "\r\n")
		if first != "HTTP/1.1 "+test.want || !strings.Contains(rest, test.has) {
			t.Errorf("%.60q is answered with %q, want %s and %q", test.send, answer, test.want, test.has)
		}
	}
}

// TestAnAddressInUseIsOnePlainError: the program used to end with a panic.
func TestAnAddressInUseIsOnePlainError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := &config.Config{Listen: "127.0.0.1:0", Management: l.Addr().String(), Settings: testSettings(t)}
	if n, err := start(c, slog.New(slog.DiscardHandler)); n != nil || err == nil || !strings.Contains(err.Error(), "management") {
		t.Errorf("started with %v, error %v", n, err)
	}
}

// recordMetrics records the metrics that an operator gets.
func (f *fixture) recordMetrics() {
	f.Helper()
	status, text := f.request("GET", "/api/telemetry")
	if status != http.StatusOK {
		f.Fatalf("telemetry is answered with %d", status)
	}
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "#") {
			f.record("%s", strings.TrimPrefix(strings.TrimSpace(line), "edge_lb_"))
		}
	}
}

// waitMetric waits until the metrics have a line. The decision module gets a list at the end of the event loop iteration in which it
// arrived, so metrics that are read in that iteration are still the old ones.
func (f *fixture) waitMetric(line string) {
	f.Helper()
	shown := make(chan bool)
	for begun := time.Now(); time.Since(begun) < peer.Timeout; time.Sleep(time.Millisecond) {
		f.node.loop.Post(func() {
			text, err := f.node.core.Telemetry()
			shown <- err == nil && strings.Contains(text, line)
		})
		if <-shown {
			return
		}
	}
	f.Errorf("the metrics never contain %q", line)
}

// endMetrics returns the metrics for ends of calls when the given number of calls has ended.
func endMetrics(ended int) []string {
	var lines []string
	for _, result := range []string{"already_over", "ambiguous", "awaits_answer", "earlier_attempt", "ended", "not_established",
		"other_controller", "other_dispatcher", "repeated", "unknown_call", "without_answer"} {
		count := 0
		if result == "ended" {
			count = ended
		}
		lines = append(lines, fmt.Sprintf("ends_received_total{result=%q} %d", result, count))
	}
	return append(lines, fmt.Sprint("ends_told_total ", ended), "ends_waited_total 0", "ends_repeated_total 0", "ends_dropped_total 0")
}

// TestTelemetry: the metrics match the messages of callers and dispatchers.
func TestTelemetry(t *testing.T) {
	runScenario(t, slices.Concat([]string{
		`requests_total{class="send-setup",outcome="served"} 0`, `requests_total{class="send-setup",outcome="refused"} 0`,
		`requests_total{class="send-setup",outcome="failed"} 0`, "attempts_total 0", "in_flight 0", "dispatchers_known 2",
		"dispatchers_excluded 0", "reloads_ok_total 0", "reloads_failed_total 0",
	}, endMetrics(0), []string{
		"d0: setup 1 x", "caller: answer 1 y", "d0: setup 6 x", "caller: answer 6 y", "caller: release 6 16", "d0: setup 2 x", "d1: setup 2 x", "caller: release 3 100", "caller: release 4 100",
		"caller: release 5 41",
		`requests_total{class="send-setup",outcome="served"} 2`, `requests_total{class="send-setup",outcome="refused"} 0`,
		`requests_total{class="send-setup",outcome="failed"} 2`, "attempts_total 4", "in_flight 2", "dispatchers_known 2",
		"dispatchers_excluded 1", "reloads_ok_total 0", "reloads_failed_total 0",
	}, endMetrics(1)), func(f *fixture) {
		c := f.newCaller()
		f.recordMetrics()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
		f.must(c.SetUp(id(6), longTimeout, 0, "x"))
		ending := f.recordEvent(0)
		f.must(ending.Answer("y"))
		f.recordMessage(c)
		f.must(ending.ReleaseOnConn(id(6), call.CauseNormal))
		f.recordMessage(c)
		f.must(c.SetUp(id(2), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Refuse(peer.NoLine))
		f.recordEvent(1)                                                                           // the call stays pending there
		f.must(c.Send(jsonl.Message{Type: "setup", ID: id(3), Fields: setUpFields("strange", 1)})) // an unknown class gets no label
		f.recordMessage(c)
		f.must(c.Send(jsonl.Message{Type: "setup", ID: id(4), Fields: setUpFields("send-setup", -1)}))
		f.recordMessage(c)
		f.must(c.SetUp(id(5), 0, 0, "x"))
		f.recordMessage(c)
		leaving := f.list
		leaving.Servers = slices.Clone(f.list.Servers)
		leaving.Servers[0].Status = control.Draining
		time.Sleep(500 * time.Millisecond) // by then its back-off has ended, and only its draining counts
		f.node.loop.Post(func() { f.node.core.Update(leaving) })
		f.waitMetric("dispatchers_excluded 1")
		f.recordMetrics()
	})
}

func setUpFields(class string, left int) map[string]jsonl.Value {
	return map[string]jsonl.Value{"class": jsonl.Value(class), "tenant": "acme", "key": "k", "left": jsonl.Value(strconv.Itoa(left))}
}
