package main

import (
	"fmt"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/store"
)

// These tests restart the program with a ledger while its list is in etcd.

// dispatcherPrefix is the prefix of the dispatchers in the store.
const dispatcherPrefix = "/dispatchers/"

// useEtcd makes the program follow the list in a store, which has the entries of the file.
func (s *listRestart) useEtcd() {
	s.Helper()
	s.etcd = store.New(1)
	address, err := s.etcd.Listen("127.0.0.1:0")
	s.must(err)
	s.Cleanup(s.etcd.Close)
	for _, entry := range s.entries {
		s.put(entry)
	}
	s.operator = fmt.Sprintf("[etcd]\nendpoints = %s\nprefix = %s\n", address, dispatcherPrefix)
}

// put writes the entry of a dispatcher to the store.
func (s *listRestart) put(entry map[string]any) {
	s.Helper()
	text, err := jsoniter.MarshalToString(entry)
	s.must(err)
	s.etcd.Put(dispatcherPrefix+fmt.Sprint(entry["name"]), text)
}

// TestCallsStandWithAListInEtcd guards against calls that are told as over after a restart, because they were held against the list of the
// file while etcd has a newer one, or because the value of their dispatcher cannot be read.
func TestCallsStandWithAListInEtcd(t *testing.T) {
	for variant, spoil := range map[string]bool{"": false, ", and its value is invalid": true} {
		for name, change := range changes {
			if spoil && name != "added" {
				continue // of the others the file has a valid entry
			}
			t.Run(name+variant, func(t *testing.T) {
				t.Parallel()
				s := newListRestart(t)
				s.useEtcd()
				s.start(1)
				entry := change.apply(s)
				s.put(entry)
				s.waitEntry(entry)
				s.establish(id(1), change.cell)
				s.kill()
				if spoil {
					s.etcd.Put(dispatcherPrefix+fmt.Sprint(entry["name"]), "{")
				}
				s.start(1)
				if spoil {
					s.waitLog("etcd value is invalid")
				} else {
					s.waitEntry(entry)
				}
				s.expectStands(id(1), change.key)
			})
		}
	}
}

// TestCallsEndWithAListInEtcd guards against a call that is kept although etcd does not name its dispatcher any more.
func TestCallsEndWithAListInEtcd(t *testing.T) {
	t.Parallel()
	s := newListRestart(t)
	s.useEtcd()
	s.start(1)
	s.establish(id(1), 1)
	s.establish(id(2), 0)
	s.kill()
	s.etcd.Put(dispatcherPrefix+"d1", "")
	s.start(1)
	s.d["d1"].Kill()
	s.expectOver(id(1))
	s.expectStands(id(2), "d0")
}
