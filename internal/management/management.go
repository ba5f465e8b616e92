// Package management serves the HTTP interface for operators: readiness, metrics, status pages, and the requests to evacuate
// the controller and to let it rejoin. Each connection carries a single request.
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
	// MaxConnections is the maximum number of open connections: enough for a few operators and their tools at once.
	MaxConnections = 8
	// spareConnections may be open in addition for a moment, until the oldest ones are evicted.
	spareConnections = 4
	// requestTimeout limits the time until a request has arrived completely. Operators wait for 1 s.
	requestTimeout = 2 * time.Second
	// scanInterval is the time between two scans for connections whose request has timed out.
	scanInterval = 250 * time.Millisecond
)

// Descriptors is the maximum number of file descriptors for the listener and its connections, which are reserved.
const Descriptors = MaxConnections + spareConnections + 1

var (
	errTimeout = errors.New("no complete request arrived in time")
	errEvicted = errors.New("evicted by a newer connection")
)

// Core handles the requests of operators. *call.Core implements it.
type Core interface {
	Ready() bool
	// Telemetry returns all metrics in Prometheus's text format.
	Telemetry() (string, error)
	Evacuate()
	Rejoin()
}

// route is the method of a path and the function that serves it.
type route struct {
	method string
	serve  func(Core) (status int, kind, body string)
}

// plainText is the content type of plain text.
const plainText = "text/plain; charset=utf-8"

var routes = map[string]route{
	"/api/ready": {http.MethodGet, func(c Core) (int, string, string) {
		if !c.Ready() {
			return http.StatusServiceUnavailable, plainText, "not ready\n"
		}
		return http.StatusOK, plainText, "ready\n"
	}},
	"/api/telemetry": {http.MethodGet, func(c Core) (int, string, string) {
		text, err := c.Telemetry()
		if err != nil {
			return http.StatusInternalServerError, plainText, err.Error() + "\n"
		}
		return http.StatusOK, string(expfmt.NewFormat(expfmt.TypeTextPlain)), text
	}},
	"/api/evacuate": {http.MethodPost, func(c Core) (int, string, string) {
		c.Evacuate()
		return http.StatusOK, plainText, "evacuating\n"
	}},
	"/api/rejoin": {http.MethodPost, func(c Core) (int, string, string) {
		c.Rejoin()
		return http.StatusOK, plainText, "rejoined\n"
	}},
}

// Server is the listener for operators and its connections.
type Server struct {
	loop     *call.Loop
	core     Core
	log      *slog.Logger
	listener *conn.Listener
	clients  []*client // open connections, oldest first
	pages    map[string]Page
}

// Listen starts to serve operators at an address.
func Listen(loop *call.Loop, core Core, log *slog.Logger, address string) (*Server, error) {
	s := &Server{loop: loop, core: core, log: log}
	l, err := conn.Listen(loop, address, MaxConnections+spareConnections, s.accept)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	s.listener = l
	loop.Post(s.closeStalled)
	return s, nil
}

// Page returns the object that a page shows as JSON, for the query of a request.
type Page func(url.Values) (any, error)

// AddPage adds a page that operators can read with GET. Its JSON must be shorter than 64 KiB: more than that is not written to a slow
// reader.
func (s *Server) AddPage(path string, p Page) {
	if s.pages == nil {
		s.pages = map[string]Page{}
	}
	s.pages[path] = p
}

// servePage returns the response to a request for a page.
func (s *Server) servePage(p Page, r *http1.Request) []byte {
	if r.Method != http.MethodGet {
		return http1.EncodeResponse(http.StatusMethodNotAllowed, "", "Allow: "+http.MethodGet)
	}
	query, err := url.ParseQuery(r.Query)
	var object any
	if err == nil {
		object, err = p(query)
	}
	if err != nil {
		return http1.EncodeResponse(http.StatusBadRequest, err.Error()+"\n", "Content-Type: "+plainText)
	}
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalToString(object)
	if err != nil {
		return http1.EncodeResponse(http.StatusInternalServerError, err.Error()+"\n", "Content-Type: "+plainText)
	}
	return http1.EncodeResponse(http.StatusOK, text+"\n", "Content-Type: application/json")
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Address() }

// Close stops accepting connections and closes the open ones.
func (s *Server) Close() error { return s.listener.Shutdown() }

func (s *Server) accept(c *conn.Conn) conn.Handler {
	newest := &client{server: s, conn: c, since: time.Now()}
	s.clients = append(s.clients, newest)
	if len(s.clients) > MaxConnections { // stalled connections must not keep new ones out
		s.clients[0].closeWith(errEvicted)
	}
	return newest
}

// closeStalled closes the connections whose request has not arrived in time.
func (s *Server) closeStalled() {
	for _, c := range slices.Clone(s.clients) {
		if time.Since(c.since) > requestTimeout {
			c.closeWith(errTimeout)
		}
	}
	s.loop.After(scanInterval, s.closeStalled)
}

// client is the connection of an operator.
type client struct {
	server *Server
	conn   *conn.Conn
	dec    http1.Decoder
	since  time.Time // when the connection was accepted
	closed bool
}

// Data reads a request and responds to it.
func (c *client) Data(in *ring.Buffer, _ time.Time) error {
	if c.closed {
		in.Discard(in.Len())
		return nil
	}
	r, err := c.dec.Next(in)
	switch {
	case err != nil:
		c.conn.Write(http1.EncodeResponse(http.StatusBadRequest, err.Error()+"\n", "Content-Type: "+plainText))
		return err
	case r == nil:
		return nil
	}
	c.conn.Write(c.server.respond(r))
	return conn.ErrClosedLocally
}

// respond returns the response to a request.
func (s *Server) respond(r *http1.Request) []byte {
	if page := s.pages[r.Path]; page != nil {
		return s.servePage(page, r)
	}
	route, exists := routes[r.Path]
	switch {
	case !exists:
		return http1.EncodeResponse(http.StatusNotFound, "no such call\n", "Content-Type: "+plainText)
	case r.Method != route.method:
		return http1.EncodeResponse(http.StatusMethodNotAllowed, "", "Allow: "+route.method)
	}
	status, kind, body := route.serve(s.core)
	return http1.EncodeResponse(status, body, "Content-Type: "+kind)
}

// closeWith closes the connection for a reason.
func (c *client) closeWith(reason error) {
	c.conn.Close(reason)
	c.Closed(reason)
}

// Closed removes the connection from the server and logs the reason unless it is a normal one.
func (c *client) Closed(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	s := c.server
	s.clients = slices.DeleteFunc(s.clients, func(other *client) bool { return other == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedLocally) {
		s.log.Warn("connection from an operator closed", "peer", c.conn.Remote(), "reason", reason)
	}
}
