// Package config reads and checks the configuration of a call controller.
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

// Config is the JSON object in the file that LB_CONFIG names, extended by the operator's file that LB_OPERATOR names.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	// Management is the host:port of the management interface, which is off if it is empty.
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

	keys map[string]bool // paths of the keys that the files set
}

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// Read reads the configuration from the environment, which getenv returns like os.Getenv, and from the files that it names:
// the platform's in LB_CONFIG and an operator's in LB_OPERATOR. One of the two is enough.
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
		c.Operator = Operator{} // the platform's file cannot enable the options of an operator
		if key := missingKey(reflect.TypeFor[Config](), "", c.keys, true); key != "" {
			return nil, fmt.Errorf("configuration %s: %s is missing", path, key)
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
		if key := missingKey(reflect.TypeFor[Config](), "", c.keys, false); key != "" {
			return nil, fmt.Errorf("configuration %s: %s is missing", path, key)
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
	var object map[string]any
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := api.Unmarshal(text, c); err != nil {
		return fmt.Errorf("configuration %s: %s", path, oneLine(err))
	}
	if err := api.Unmarshal(text, &object); err != nil {
		return fmt.Errorf("configuration %s: %s", path, oneLine(err))
	}
	maps.Copy(c.keys, keyPaths(object))
	return nil
}

// oneLine returns the text of a decoder's error without its excerpt of the file, which may span several lines.
func oneLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), ", error found in")
	return strings.Join(strings.Fields(text), " ")
}

// checkAddress returns an error that names the key if its value is not a host:port.
func checkAddress(key, value string) error {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		return fmt.Errorf("%s: %q is not a host:port", key, value)
	}
	return nil
}

func (c *Config) check() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if c.Management != "" {
		if err := checkAddress("management", c.Management); err != nil {
			return err
		}
	}
	if err := c.Settings.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return errors.New("limits: memory_mb and sockets must not be negative")
	}
	if c.Coordinator != "" {
		if err := checkAddress("coordinator", c.Coordinator); err != nil {
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
	if n := c.listSources(); n > 1 {
		return errors.New("more than one of coordinator, etcd and pool is configured: only one list of dispatchers is possible")
	}
	_, err := c.SeedNumber()
	return err
}

// listSources returns how many lists of dispatchers are configured.
func (c *Config) listSources() int {
	n := 0
	for _, configured := range []bool{c.Coordinator != "", c.Etcd != nil, c.Pool != nil} {
		if configured {
			n++
		}
	}
	return n
}

// SeedNumber parses the seed, a hexadecimal number. Without a configured seed, it returns a random one.
func (c *Config) SeedNumber() (uint64, error) {
	if c.Seed == "" {
		var raw [8]byte
		_, _ = rand.Read(raw[:]) // it returns no error: crypto/rand ends the program instead
		return binary.BigEndian.Uint64(raw[:]), nil
	}
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hexadecimal number of at most 64 bits", c.Seed)
	}
	return n, nil
}
