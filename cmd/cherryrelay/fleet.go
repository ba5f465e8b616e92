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

// stateReportInterval is the interval at which this controller reports to the fleet whether it serves.
const stateReportInterval = 100 * time.Millisecond

// fleet is this controller's membership in the fleet.
type fleet struct {
	*membership.Fleet
	client  *clientv3.Client
	leaving bool // reported as leaving
}

func (f *fleet) close() error {
	f.Close()
	if err := f.client.Close(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// followStore joins the fleet and follows the list of dispatchers in etcd, each if it is configured. Both use one client if they have the
// same endpoints.
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
		n.core.AddMetrics(n.fleet.Metrics)
		if n.manage != nil {
			for path, page := range n.fleet.Pages() {
				n.manage.AddPage(path, page)
			}
		}
		n.loop.Post(n.reportState)
	}
	if c.Etcd == nil {
		return nil
	}
	apply := n.lists.UpdateHandler(decide.FromEtcd)
	if n.fleet != nil && slices.Equal(c.Etcd.Endpoints, c.Fleet.Endpoints) {
		list := etcd.NewWithClient(n.fleet.client, c.Etcd.Prefix, n.log, apply)
		list.OnCaughtUp(n.confirmList)
		go list.Run(ctx)
		return nil
	}
	list, err := etcd.New(*c.Etcd, n.log, apply)
	if err != nil {
		return err //nolint:wrapcheck // the error names its source
	}
	list.OnCaughtUp(n.confirmList)
	go list.Run(ctx)
	return nil
}

// reportState reports to the fleet whether this controller serves, and schedules the next report.
func (n *node) reportState() {
	switch {
	case n.fleet.leaving:
	case n.core.Ready():
		n.fleet.SetState(members.Serving)
	default:
		n.fleet.SetState(members.Joining)
	}
	n.loop.After(stateReportInterval, n.reportState)
}

// cancelLeave cancels leave after the successor has ended.
func (n *node) cancelLeave() {
	if n.fleet != nil {
		n.fleet.leaving = false
	}
}

// leave reports to the fleet that this controller only completes the calls it has.
func (n *node) leave() {
	if n.fleet != nil {
		n.fleet.leaving = true
		n.fleet.SetState(members.Leaving)
	}
}
