package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/internal/decide/members"
	decide "cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/etcd"
	"cherryrelay/internal/membership"
)

// tellStateEvery is the pace at which the fleet is told whether this controller serves.
const tellStateEvery = 100 * time.Millisecond

// fleet is this controller's place among those of its site.
type fleet struct {
	*membership.Fleet
	client *clientv3.Client
	left   bool
}

func (f *fleet) close() error {
	f.Close()
	if err := f.client.Close(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// followStore joins the fleet and follows the list, each if etcd has it, over one client where they are in one place.
func (n *node) followStore(ctx context.Context) error {
	c := n.config
	if c.Fleet != nil {
		client, err := etcd.Dial(c.Fleet.Endpoints)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		n.fleet = &fleet{client: client, Fleet: membership.Start(client, membership.Options{
			Name: c.Name, Address: c.Listen, Prefix: strings.TrimSuffix(c.Fleet.Prefix, "/") + "/", Lease: c.Fleet.Lease(),
		}, n.log)}
		n.core.AddMetrics(n.fleet.Figures)
		if n.manage != nil {
			for path, page := range n.fleet.Pages() {
				n.manage.Show(path, page)
			}
		}
		n.loop.Post(n.tellState)
	}
	if c.Etcd == nil {
		return nil
	}
	take := n.lists.Stream(decide.FromEtcd)
	if n.fleet != nil && slices.Equal(c.Etcd.Endpoints, c.Fleet.Endpoints) {
		go etcd.Over(n.fleet.client, c.Etcd.Prefix, n.log, take).Run(ctx)
		return nil
	}
	list, err := etcd.New(*c.Etcd, n.log, take)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	go list.Run(ctx)
	return nil
}

// tellState tells the fleet whether this controller serves.
func (n *node) tellState() {
	switch {
	case n.fleet.left:
	case n.core.Ready():
		n.fleet.Say(members.Serving)
	default:
		n.fleet.Say(members.Joining)
	}
	n.loop.After(tellStateEvery, n.tellState)
}

// stay takes back that this controller leaves: its successor is no more.
func (n *node) stay() {
	if n.fleet != nil {
		n.fleet.left = false
	}
}

// leave tells the fleet that this controller serves out what it has.
func (n *node) leave() {
	if n.fleet != nil {
		n.fleet.left = true
		n.fleet.Say(members.Leaving)
	}
}
