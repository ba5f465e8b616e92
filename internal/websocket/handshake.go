package websocket

import (
	"crypto/rand"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cherryrelay/internal/http1"
	"cherryrelay/internal/ring"
)

// Protocol is the subprotocol of the call-control API.
const Protocol = "call-control.v1"

const keyGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// readHead takes an HTTP head off the ring, with the code that an unreadable one calls for.
func readHead(in *ring.Buffer) (first string, headers map[string]string, err error) {
	first, headers, err = http1.Head(in)
	switch {
	case errors.Is(err, http1.ErrTooLong):
		err = &Error{TooBig, "opening of over 8 KiB"}
	case err != nil:
		err = &Error{ProtocolError, err.Error()}
	}
	return first, headers, err
}

func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + keyGUID))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Accept takes an opening request off the ring and returns the response; both are nil while the request is not whole.
// With an error, the response is a refusal to be sent before the connection is closed.
func Accept(in *ring.Buffer, path string) (response []byte, err error) {
	first, h, err := readHead(in)
	if err != nil {
		return http1.Response(http.StatusBadRequest, ""), err
	}
	if first == "" {
		return nil, nil
	}
	refuse := func(status int, why string, headers ...string) ([]byte, error) {
		return http1.Response(status, "", headers...), &Error{ProtocolError, why}
	}
	parts := strings.Split(first, " ")
	if len(parts) != 3 || parts[0] != "GET" || parts[2] != "HTTP/1.1" || h["host"] == "" {
		return refuse(http.StatusBadRequest, fmt.Sprintf("opening with %.60q", first))
	}
	if target, _, _ := strings.Cut(parts[1], "?"); target != path {
		return refuse(http.StatusNotFound, fmt.Sprintf("opening at %.60q", parts[1]))
	}
	if !http1.Has(h["upgrade"], "websocket") || !http1.Has(h["connection"], "upgrade") {
		return refuse(http.StatusUpgradeRequired, "request that asks for no WebSocket", "Upgrade: websocket")
	}
	if h["sec-websocket-version"] != "13" {
		return refuse(http.StatusUpgradeRequired, "another version of WebSocket", "Sec-WebSocket-Version: 13")
	}
	key := h["sec-websocket-key"]
	if raw, err := base64.StdEncoding.DecodeString(key); err != nil || len(raw) != 16 {
		return refuse(http.StatusBadRequest, "unusable Sec-WebSocket-Key")
	}
	protocol := ""
	if offered := h["sec-websocket-protocol"]; offered != "" {
		if !http1.Has(offered, Protocol) {
			return refuse(http.StatusBadRequest, fmt.Sprintf("subprotocol %.60q", offered))
		}
		protocol = "Sec-WebSocket-Protocol: " + Protocol + "\r\n"
	}
	return []byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + acceptKey(key) + "\r\n" + protocol + "\r\n"), nil
}

// Opening is a client's side of the handshake.
type Opening struct{ key string }

// Request begins the handshake with a host.
func (o *Opening) Request(host, path string) []byte {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // it never fails: crypto/rand ends the program instead
	o.key = base64.StdEncoding.EncodeToString(raw)
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + o.key + "\r\nSec-WebSocket-Protocol: " + Protocol + "\r\n\r\n")
}

// Done takes the response off the ring and reports whether the connection is open.
func (o *Opening) Done(in *ring.Buffer) (bool, error) {
	first, h, err := readHead(in)
	if err != nil || first == "" {
		return false, err
	}
	if !strings.HasPrefix(first, "HTTP/1.1 101") || !http1.Has(h["upgrade"], "websocket") || !http1.Has(h["connection"], "upgrade") ||
		h["sec-websocket-accept"] != acceptKey(o.key) {
		return false, &Error{ProtocolError, fmt.Sprintf("opening answered with %.60q", first)}
	}
	if p := h["sec-websocket-protocol"]; p != "" && p != Protocol {
		return false, &Error{ProtocolError, fmt.Sprintf("subprotocol %.60q", p)}
	}
	return true, nil
}
