// Package config reads what a call controller is told at its start.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/coordinator"
	"cherryrelay/internal/settings"
)

// Config is the object in the file that LB_CONFIG names.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int   `json:"sockets"`
	} `json:"limits"`
	Coordinator string `json:"coordinator"`
	Known       struct {
		Index   int64               `json:"index"`
		Updates []coordinator.Event `json:"updates"`
	} `json:"known"`
	Settings *settings.Settings `json:"settings"`
}

// Read takes the configuration from the environment, as os.Getenv gives it, and the files it names.
func Read(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG names no configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := new(Config)
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if name := getenv("LB_NAME"); name != "" {
		c.Name = name
	}
	if listen := getenv("LB_LISTEN"); listen != "" {
		c.Listen = listen
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen %q: %w", c.Listen, err)
	}
	if c.Settings == nil {
		return errors.New("settings are missing")
	}
	if _, err := c.Settings.Control(); err != nil {
		return err
	}
	if c.Settings.Caps.ConnectTimeoutUs <= 0 {
		return errors.New("settings: caps.connectTimeoutUs must be above 0")
	}
	if c.Coordinator != "" {
		if _, _, err := net.SplitHostPort(c.Coordinator); err != nil {
			return fmt.Errorf("coordinator %q: %w", c.Coordinator, err)
		}
	}
	if _, err := c.SeedNumber(); err != nil {
		return err
	}
	return nil
}

// SeedNumber is the seed, written in hex.
func (c *Config) SeedNumber() (uint64, error) {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed %q is no hex number of 64 bits", c.Seed)
	}
	return n, nil
}
