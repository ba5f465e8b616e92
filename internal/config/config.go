// Package config reads what a call controller is told at its start.
package config

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/lists/coordinator"
	"cherryrelay/internal/settings"
)

// Config is the object in the file that LB_CONFIG names, with what the operator's file adds to it.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	// Management is the address for operators; without one there is none.
	Management string `json:"management" need:"optional"`
	Seed       string `json:"seed" need:"platform"`
	Limits     struct {
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int   `json:"sockets"`
	} `json:"limits"`
	Coordinator string `json:"coordinator" need:"platform"`
	Known       struct {
		Index   int64               `json:"index"`
		Updates []coordinator.Event `json:"updates" need:"shallow"`
	} `json:"known" need:"platform"`
	Settings *settings.Settings `json:"settings"`
	Operator

	keys map[string]bool // of the files
}

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// Read takes the configuration from the environment, as os.Getenv gives it, and the files it names: LB_CONFIG the
// platform's, LB_OPERATOR an operator's, of which one is enough.
func Read(getenv func(string) string) (*Config, error) {
	c := &Config{keys: map[string]bool{}}
	path, operator := getenv("LB_CONFIG"), getenv("LB_OPERATOR")
	if path == "" && operator == "" {
		return nil, errors.New("neither LB_CONFIG nor LB_OPERATOR names a configuration file")
	}
	if path != "" {
		if err := c.readPlatform(path); err != nil {
			return nil, err
		}
		c.Operator = Operator{} // the second front is off on the platform
		if lost := missing(reflect.TypeFor[Config](), "", c.keys, true); lost != "" {
			return nil, fmt.Errorf("configuration %s: %s is missing", path, lost)
		}
	}
	if operator != "" {
		path = operator
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		if err := c.readOperator(path, text); err != nil {
			return nil, err
		}
		if lost := missing(reflect.TypeFor[Config](), "", c.keys, false); lost != "" {
			return nil, fmt.Errorf("configuration %s: %s is missing", path, lost)
		}
	}
	if name := getenv("LB_NAME"); name != "" {
		c.Name = name
	}
	if listen := getenv("LB_LISTEN"); listen != "" {
		c.Listen = listen
	}
	if management := getenv("LB_MANAGEMENT"); management != "" {
		c.Management = management
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// readPlatform reads the platform's file, which is JSON.
func (c *Config) readPlatform(path string) error {
	var all map[string]any
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := api.Unmarshal(text, c); err != nil {
		return fmt.Errorf("configuration %s: %s", path, oneLine(err))
	}
	if err := api.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("configuration %s: %s", path, oneLine(err))
	}
	maps.Copy(c.keys, keys(all))
	return nil
}

// oneLine cuts the decoder's excerpt of the file, which may run over lines.
func oneLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), ", error found in")
	return strings.Join(strings.Fields(text), " ")
}

func address(key, value string) error {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		return fmt.Errorf("%s: %q is no host:port", key, value)
	}
	return nil
}

func (c *Config) check() error {
	if err := address("listen", c.Listen); err != nil {
		return err
	}
	if c.Management != "" {
		if err := address("management", c.Management); err != nil {
			return err
		}
	}
	if err := c.Settings.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return errors.New("limits: a limit is below 0")
	}
	if c.Coordinator != "" {
		if err := address("coordinator", c.Coordinator); err != nil {
			return err
		}
	}
	if err := c.Operator.check(); err != nil {
		return err
	}
	if c.Fleet != nil {
		if err := c.Fleet.check(c.Name, c.Ledger); err != nil {
			return err
		}
	}
	if c.Subset != nil {
		if err := c.Subset.check(c.Name); err != nil {
			return err
		}
	}
	if n := c.sources(); n > 1 {
		return errors.New("more than one of coordinator, etcd and pool are named: there can be one list")
	}
	_, err := c.SeedNumber()
	return err
}

// sources is how many lists of dispatchers are named.
func (c *Config) sources() int {
	n := 0
	for _, named := range []bool{c.Coordinator != "", c.Etcd != nil, c.Pool != nil} {
		if named {
			n++
		}
	}
	return n
}

// SeedNumber is the seed, written in hex; without one it is drawn.
func (c *Config) SeedNumber() (uint64, error) {
	if c.Seed == "" {
		var raw [8]byte
		_, _ = rand.Read(raw[:]) // it never fails: crypto/rand ends the program instead
		return binary.BigEndian.Uint64(raw[:]), nil
	}
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is no hex number of 64 bits", c.Seed)
	}
	return n, nil
}
