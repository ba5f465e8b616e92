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

// Subprotocol is the subprotocol of the call-control API.
const Subprotocol = "call-control.v1"

// keyGUID is appended to the client's key to compute Sec-WebSocket-Accept (RFC 6455, 1.3).
const keyGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// readHead reads the first line and the headers of an HTTP message from the ring. An error has the code to close the connection with.
func readHead(in *ring.Buffer) (first string, headers map[string]string, err error) {
	first, headers, err = http1.ReadHead(in)
	switch {
	case errors.Is(err, http1.ErrTooLong):
		err = &Error{TooBig, "handshake longer than 8 KiB"}
	case err != nil:
		err = &Error{ProtocolError, err.Error()}
	}
	return first, headers, err
}

// acceptKey returns the value of Sec-WebSocket-Accept for the client's key.
func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + keyGUID))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Accept reads the request of an opening handshake from the ring and returns the response. Response and error are nil while the request is
// not complete. If there is an error, the response is a refusal to be sent before the connection is closed.
func Accept(in *ring.Buffer, path string) (response []byte, err error) {
	first, h, err := readHead(in)
	if err != nil {
		return http1.EncodeResponse(http.StatusBadRequest, ""), err
	}
	if first == "" {
		return nil, nil
	}
	refuse := func(status int, reason string, headers ...string) ([]byte, error) {
		return http1.EncodeResponse(status, "", headers...), &Error{ProtocolError, reason}
	}
	parts := strings.Split(first, " ")
	if len(parts) != 3 || parts[0] != "GET" || parts[2] != "HTTP/1.1" || h["host"] == "" {
		return refuse(http.StatusBadRequest, fmt.Sprintf("invalid handshake request %.60q", first))
	}
	if target, _, _ := strings.Cut(parts[1], "?"); target != path {
		return refuse(http.StatusNotFound, fmt.Sprintf("handshake for the unknown path %.60q", parts[1]))
	}
	if !http1.ListContains(h["upgrade"], "websocket") || !http1.ListContains(h["connection"], "upgrade") {
		return refuse(http.StatusUpgradeRequired, "request without an upgrade to WebSocket", "Upgrade: websocket")
	}
	if h["sec-websocket-version"] != "13" {
		return refuse(http.StatusUpgradeRequired, "unsupported version of WebSocket", "Sec-WebSocket-Version: 13")
	}
	key := h["sec-websocket-key"]
	if raw, err := base64.StdEncoding.DecodeString(key); err != nil || len(raw) != 16 {
		return refuse(http.StatusBadRequest, "invalid Sec-WebSocket-Key")
	}
	protocol := ""
	if offered := h["sec-websocket-protocol"]; offered != "" {
		if !http1.ListContains(offered, Subprotocol) {
			return refuse(http.StatusBadRequest, fmt.Sprintf("unsupported subprotocols %.60q", offered))
		}
		protocol = "Sec-WebSocket-Protocol: " + Subprotocol + "\r\n"
	}
	return []byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + acceptKey(key) + "\r\n" + protocol + "\r\n"), nil
}

// ClientHandshake is the client's side of an opening handshake.
type ClientHandshake struct{ key string }

// Request returns the request that starts the handshake with the host.
func (o *ClientHandshake) Request(host, path string) []byte {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // never fails: crypto/rand terminates the program instead
	o.key = base64.StdEncoding.EncodeToString(raw)
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + o.key + "\r\nSec-WebSocket-Protocol: " + Subprotocol + "\r\n\r\n")
}

// ReadResponse reads the response from the ring and reports whether the handshake is complete. It returns false while the response is incomplete.
func (o *ClientHandshake) ReadResponse(in *ring.Buffer) (bool, error) {
	first, h, err := readHead(in)
	if err != nil || first == "" {
		return false, err
	}
	if !strings.HasPrefix(first, "HTTP/1.1 101") || !http1.ListContains(h["upgrade"], "websocket") || !http1.ListContains(h["connection"], "upgrade") ||
		h["sec-websocket-accept"] != acceptKey(o.key) {
		return false, &Error{ProtocolError, fmt.Sprintf("handshake refused or invalid: %.60q", first)}
	}
	if p := h["sec-websocket-protocol"]; p != "" && p != Subprotocol {
		return false, &Error{ProtocolError, fmt.Sprintf("server selected the unsupported subprotocol %.60q", p)}
	}
	return true, nil
}
