package main

import (
	"testing"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/settings"
)

// testSettings returns the settings of a small deployment. The numbers are only for tests.
func testSettings(t *testing.T) *settings.Settings {
	t.Helper()
	s := new(settings.Settings)
	if err := jsoniter.UnmarshalFromString(`{"caps":{"connIdleUs":600000000,"connectTimeoutUs":500000,
"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"tenants":[{"name":"acme"}],
"familyInfo":{"allowedPools":[[0,1]],"classWidth":[1],"guardUs":500000,"layout":"skills","thisNode":-1},"membershipMode":"pushed",
"peersTotal":2,"report":{"fields":["idle","circuits","avg_ms","max_rate"]},
"requestClasses":[{"aimUs":30000000,"deadlineUs":90000000,"group":"all","lateValue":0.25,"name":"send-setup",
"semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":15000000,"graceToAnswerUs":20000,"startCapacity":0.28,"tipMultiple":2}}`, s); err != nil {
		t.Fatal(err)
	}
	return s
}
