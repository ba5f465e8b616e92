package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/lists"
	"cherryrelay/internal/peer"
)

// asProgram is the environment variable that makes the test binary run the program itself, for tests that need a process.
const asProgram = "CHERRYRELAY_TEST_AS_PROGRAM"

// startListServer starts a coordinator that reports the requested event IDs and sends one event.
func startListServer(t *testing.T, event string) (address string, requested chan string) {
	requested = make(chan string, 16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, event)
		_ = http.NewResponseController(w).Flush()
		requested <- r.Header.Get("Last-Event-ID")
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://"), requested
}

func waitRequested(t *testing.T, asked chan string, want string) {
	t.Helper()
	timeout := time.After(peer.Timeout)
	for {
		select {
		case got := <-asked:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("no coordinator was asked for the events after %s", want)
		}
	}
}

// waitServers waits until the active list has the given number of dispatchers.
func waitServers(t *testing.T, management string, servers int) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		var state lists.State
		if _, body := httpGet(management, lists.StatePath); jsoniter.UnmarshalFromString(body, &state) == nil && state.Servers == servers {
			return
		}
		if time.Since(begun) > peer.Timeout {
			t.Fatalf("the active list has %d dispatchers, want %d", state.Servers, servers)
		}
	}
}

// TestReload: SIGHUP used to end the program. It must switch to the coordinator that the file now names and continue the event numbers. An
// invalid file changes nothing.
func TestReload(t *testing.T) {
	event := "id: %d\ndata: {\"index\":%[1]d,\"endpoints\":{\"snapshot\":true,\"endpoints\":[%s]}}\n\n"
	entry := `{"name":"d9","address":"127.0.0.1:1","status":"active","group":0,"zone":"east","since_ms":0}`
	first, askedFirst := startListServer(t, fmt.Sprintf(event, 4, ""))
	second, askedSecond := startListServer(t, fmt.Sprintf(event, 9, entry))
	third, askedThird := startListServer(t, "")
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	file := func(address string) string {
		whole, err := os.ReadFile("../../example/config.json")
		if err != nil {
			t.Fatal(err)
		}
		return strings.Replace(string(whole), `"coordinator": ""`, `"coordinator":"`+address+`"`, 1)
	}
	write(file(first))
	management := freeAddress(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+path, "LB_LISTEN=127.0.0.1:0", "LB_MANAGEMENT="+management)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	reload := func() {
		t.Helper()
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	waitRequested(t, askedFirst, "1")
	waitServers(t, management, 0) // the list of the first one is applied before the switch
	write(file(second))
	reload()
	waitRequested(t, askedSecond, "4")
	waitServers(t, management, 1) // the list of the second one is applied before the next switch
	write("{")
	reload()
	write(file(third))
	reload()
	waitRequested(t, askedThird, "9")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
