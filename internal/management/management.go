// Package management serves the address for operators: whether this process can serve, its figures, and leaving and
// rejoining work. Each connection carries one call.
package management

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/prometheus/common/expfmt"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/http1"
	"cherryrelay/internal/ring"
)

const (
	// MaxOpen is how many connections are kept, for which descriptors are reserved: a few operators and their tools at once.
	MaxOpen = 8
	// spare may be open beyond them for a moment, until the oldest has made room for the newest.
	spare = 4
	// callWithin is how long a call may take to come in whole. Operators wait for 1 s.
	callWithin = 2 * time.Second
	// lookEvery is the pace at which connections are looked at.
	lookEvery = 250 * time.Millisecond
)

// Descriptors is what the address may take.
const Descriptors = MaxOpen + spare + 1

var (
	errStalled = errors.New("no whole call came in time")
	errRoom    = errors.New("room for a newer call")
)

// Core is what operators ask and tell; *call.Core is one.
type Core interface {
	Ready() bool
	// Telemetry is all figures as text.
	Telemetry() (string, error)
	Evacuate()
	Rejoin()
}

// route is what a path stands for.
type route struct {
	method string
	serve  func(Core) (status int, kind, body string)
}

const plain = "text/plain; charset=utf-8"

var routes = map[string]route{
	"/api/ready": {http.MethodGet, func(c Core) (int, string, string) {
		if !c.Ready() {
			return http.StatusServiceUnavailable, plain, "not ready\n"
		}
		return http.StatusOK, plain, "ready\n"
	}},
	"/api/telemetry": {http.MethodGet, func(c Core) (int, string, string) {
		text, err := c.Telemetry()
		if err != nil {
			return http.StatusInternalServerError, plain, err.Error() + "\n"
		}
		return http.StatusOK, string(expfmt.NewFormat(expfmt.TypeTextPlain)), text
	}},
	"/api/evacuate": {http.MethodPost, func(c Core) (int, string, string) {
		c.Evacuate()
		return http.StatusOK, plain, "evacuating\n"
	}},
	"/api/rejoin": {http.MethodPost, func(c Core) (int, string, string) {
		c.Rejoin()
		return http.StatusOK, plain, "rejoined\n"
	}},
}

// Server is the address and its connections.
type Server struct {
	loop     *call.Loop
	core     Core
	log      *slog.Logger
	listener *conn.Listener
	open     []*client // in the order in which they came
	pages    map[string]Page
}

// Listen opens the address.
func Listen(loop *call.Loop, core Core, log *slog.Logger, address string) (*Server, error) {
	s := &Server{loop: loop, core: core, log: log}
	l, err := conn.Listen(loop, address, MaxOpen+spare, s.accept)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	s.listener = l
	loop.Post(s.look)
	return s, nil
}

// Page is what a part of the program shows of itself: an object for JSON, by the query of the call.
type Page func(url.Values) (any, error)

// Show adds a page that operators may GET. Its JSON must be below 64 KiB: more than that is not written to a slow reader.
func (s *Server) Show(path string, p Page) {
	if s.pages == nil {
		s.pages = map[string]Page{}
	}
	s.pages[path] = p
}

// page answers with a page.
func (s *Server) page(p Page, r *http1.Request) []byte {
	if r.Method != http.MethodGet {
		return http1.Response(http.StatusMethodNotAllowed, "", "Allow: "+http.MethodGet)
	}
	query, err := url.ParseQuery(r.Query)
	var shown any
	if err == nil {
		shown, err = p(query)
	}
	if err != nil {
		return http1.Response(http.StatusBadRequest, err.Error()+"\n", "Content-Type: "+plain)
	}
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalToString(shown)
	if err != nil {
		return http1.Response(http.StatusInternalServerError, err.Error()+"\n", "Content-Type: "+plain)
	}
	return http1.Response(http.StatusOK, text+"\n", "Content-Type: application/json")
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Address() }

// Close ends the server and its connections.
func (s *Server) Close() error { return s.listener.Shutdown() }

func (s *Server) accept(c *conn.Conn) conn.Handler {
	k := &client{server: s, conn: c, since: time.Now()}
	s.open = append(s.open, k)
	if len(s.open) > MaxOpen { // who has stalled for longest keeps nobody out
		s.open[0].shut(errRoom)
	}
	return k
}

// look closes connections on which no call comes.
func (s *Server) look() {
	for _, c := range slices.Clone(s.open) {
		if time.Since(c.since) > callWithin {
			c.shut(errStalled)
		}
	}
	s.loop.After(lookEvery, s.look)
}

// client is one connection.
type client struct {
	server *Server
	conn   *conn.Conn
	dec    http1.Decoder
	since  time.Time
	closed bool
}

// Data takes in a call and answers it.
func (c *client) Data(in *ring.Buffer, _ time.Time) error {
	if c.closed {
		in.Discard(in.Len())
		return nil
	}
	r, err := c.dec.Next(in)
	switch {
	case err != nil:
		c.conn.Write(http1.Response(http.StatusBadRequest, err.Error()+"\n", "Content-Type: "+plain))
		return err
	case r == nil:
		return nil
	}
	c.conn.Write(c.server.answer(r))
	return conn.ErrClosedHere
}

func (s *Server) answer(r *http1.Request) []byte {
	if page := s.pages[r.Path]; page != nil {
		return s.page(page, r)
	}
	route, known := routes[r.Path]
	switch {
	case !known:
		return http1.Response(http.StatusNotFound, "no such call\n", "Content-Type: "+plain)
	case r.Method != route.method:
		return http1.Response(http.StatusMethodNotAllowed, "", "Allow: "+route.method)
	}
	status, kind, body := route.serve(s.core)
	return http1.Response(status, body, "Content-Type: "+kind)
}

func (c *client) shut(reason error) {
	c.conn.Close(reason)
	c.Closed(reason)
}

// Closed forgets the connection.
func (c *client) Closed(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	s := c.server
	s.open = slices.DeleteFunc(s.open, func(o *client) bool { return o == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere) {
		s.log.Warn("connection from operators closed", "peer", c.conn.Remote(), "reason", reason)
	}
}
