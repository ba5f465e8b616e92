package harness

import (
	"net"
	"sync"
	"time"
)

// Proxy relays the connections to an address. It can hold back all bytes in both directions for a while, as a network does that is
// partitioned: nothing is lost, and what was held back arrives in order afterwards.
type Proxy struct {
	Address string
	c       *Case
	ln      net.Listener
	mu      sync.Mutex
	until   time.Time // bytes are held back until then
}

// NewProxy starts a proxy in front of an address.
func (c *Case) NewProxy(target string) *Proxy {
	p := &Proxy{Address: c.Address(), c: c}
	var err error
	p.ln, err = net.Listen("tcp", p.Address)
	c.Must(err)
	go func() {
		for {
			in, err := p.ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go p.relay(in, out)
			go p.relay(out, in)
		}
	}()
	return p
}

// Hold holds back all bytes for some time from now on.
func (p *Proxy) Hold(d time.Duration) {
	p.mu.Lock()
	p.until = time.Now().Add(d)
	p.mu.Unlock()
	p.c.Log("network", "partitioned for %v", d)
	time.AfterFunc(d, func() { p.c.Log("network", "the partition is over") })
}

func (p *Proxy) wait() {
	for {
		p.mu.Lock()
		d := time.Until(p.until)
		p.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// relay copies one direction until it ends.
func (p *Proxy) relay(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		p.wait()
		n, err := from.Read(buffer)
		p.wait() // what was read as the partition began stays here until it is over
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
