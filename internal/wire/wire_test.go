package wire

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/settings"
)

const facts = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"mayProbe":true,"retryAfter":true,"sendCap":4},
"familyInfo":{"allowedPools":[[0,1],[1]],"guardUs":300000,"layout":"skills","resendUs":500000,"thisNode":-1},
"membershipMode":"pushed","peersTotal":4,"report":{"fields":["idle","circuits","cpu","novel"],"source":"inline"},
"requestClasses":[
{"aimUs":1200000,"deadlineUs":9000000,"group":"all","lateValue":0.25,"name":"low","semantics":"read_like","worth":1},
{"aimUs":1500000,"deadlineUs":9000000,"group":"cell","lateValue":0.5,"name":"high",
"semantics":"idempotency_key","windowUs":5000000,"worth":3}],
"resolutionUs":5000,"someNewKey":[1,2],
"rules":{"coldUs":15000000,"drainGraceUs":1000000,"graceToAnswerUs":20000,"startCapacity":0.3,"tipMultiple":2}}`

func joinLines(s string) string { return strings.ReplaceAll(s, "\n", "") }

// initBatch returns a batch that starts an instance and delivers a list of two servers to it.
func initBatch(name string) string {
	return joinLines(`{"clockUs":1000,"news":[{"Init":{"i":"` + name + `","prng":18446744073709551615,"facts":` + facts + `}},
{"DefineList":{"buffer":3,"rows":[
{"units":1,"server":"s-a","status":"active","cell":0,"hall":"z","bootTimeUs":null,"sku":"k"},
{"units":1,"server":"s-b","status":"active","cell":1,"hall":"z","bootTimeUs":null,"sku":"k"}]}},
{"Members":{"i":"` + name + `","scope":"cached","rev":1,"buffer":3}}]}`)
}

// acceptEvent returns an Accept message of class low, marked as a redial.
func acceptEvent(name, id, dest string) string {
	return `{"Accept":{"i":"` + name + `","requestId":"` + id + `","type":"low","party":null,"key":"k","budgetUs":3000000,` +
		`"costGuessUs":null,"dest":` + dest + `,"slotsNeeded":1,"tandem":-1,"options":2}}`
}

// serve runs Serve on the lines and returns the reply to each.
func serve(t *testing.T, lines ...string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

func TestSettings(t *testing.T) {
	var f settings.Settings
	if err := json.Unmarshal([]byte(facts), &f); err != nil {
		t.Fatal(err)
	}
	got, err := f.ControlSettings()
	if err != nil {
		t.Fatal(err)
	}
	want := control.Settings{
		Classes: []control.Class{
			{Name: "low", Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25,
				Cells: []int{0, 1}},
			{Name: "high", Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 3, LateShare: 0.5,
				Idempotency: control.IdempotentByKey, DedupScope: control.DedupCell, DedupWindow: 5 * time.Second, Cells: []int{1}},
		},
		Layout:             control.Pools,
		Nodes:              4,
		OwnCell:            -1,
		Tick:               5 * time.Millisecond,
		ReleaseGuard:       300 * time.Millisecond,
		AnswerGrace:        20 * time.Millisecond,
		ColdCapacity:       0.3,
		WarmUpTime:         15 * time.Second,
		ColdOverloadFactor: 2,
		MaxAttempts:        4,
		MayHoldOff:         true,
		MaxHoldOff:         2 * time.Second,
		MayCancel:          true,
		ReportFields:       []control.ReportField{control.FreeLines, control.Lines, control.Utilisation, control.UnknownField},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestServe(t *testing.T) {
	replies := serve(t,
		`{"clockUs":0,"news":[]}`,
		initBatch("node_0"),
		`{"clockUs":9000,"news":[`+acceptEvent("node_0", "00ff", "1")+`]}`,
		`{"clockUs":60000,"news":[{"AckFirst":{"i":"node_0","requestId":"00ff","seqNo":0,"server":"s-b","rttUs":51000}}]}`,
		`{"clockUs":90000,"news":[{"Shutdown":{"i":"node_0"}},`+acceptEvent("node_0", "00aa", "1")+`]}`,
	)
	if replies[0] != `{"output":[]}` {
		t.Errorf("reply to an empty batch: %s", replies[0])
	}
	if want := `{"Assign":{"i":"node_0","requestId":"00ff","server":"s-b"}}`; !strings.Contains(replies[2], want) {
		t.Errorf("reply to an offered call: %s, want it to contain %s", replies[2], want)
	}
	if replies[4] != `{"output":[]}` {
		t.Errorf("an instance that was shut down returned actions: %s", replies[4])
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	alone := serve(t, initBatch("node_0"), `{"clockUs":9000,"news":[`+acceptEvent("node_0", "00ff", "0")+`]}`)
	var offers strings.Builder
	for _, id := range []string{"01", "02", "03"} {
		offers.WriteString(acceptEvent("node_1", id, "0") + ",")
	}
	shared := serve(t, initBatch("node_1"), initBatch("node_0"),
		`{"clockUs":8000,"news":[`+strings.TrimSuffix(offers.String(), ",")+`]}`,
		`{"clockUs":9000,"news":[`+acceptEvent("node_0", "00ff", "0")+`]}`)
	if got, want := shared[3], alone[1]; got != want {
		t.Errorf("reply with another instance in the process: %s, without: %s", got, want)
	}
}

func TestMalformedInput(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"no JSON", `{"clockUs":`, "batch"},
		{"not an object", `[]`, "batch"},
		{"no clock", `{"news":[]}`, "clockUs is missing"},
		{"no events", `{"clockUs":1}`, "news is missing"},
		{"unknown event", `{"clockUs":1,"news":[{"Boo":{"i":"n"}}]}`, "Boo: unknown event"},
		{"two names", `{"clockUs":1,"news":[{"Ring":{"i":"n"},"Gone":{"i":"n"}}]}`, "2 names"},
		{"no instance", `{"clockUs":1,"news":[{"Ring":{"handle":1}}]}`, "Ring: i is missing"},
		{"no facts", `{"clockUs":1,"news":[{"Init":{"i":"n","prng":1}}]}`, "facts is missing"},
		{"wrong type", `{"clockUs":1,"news":[{"Gone":{"i":"n","requestId":7}}]}`, "Gone"},
		{"unknown outcome", `{"clockUs":1,"news":[{"PingResult":{"i":"n","outcome":9,"server":"s"}}]}`, "unknown outcome 9"},
		{"undefined list", `{"clockUs":1,"news":[{"Members":{"i":"n","scope":"full","buffer":2}}]}`, "list 2"},
		{"unknown scope", `{"clockUs":1,"news":[{"Members":{"i":"n","scope":"odd","buffer":2}}]}`, `"odd"`},
		{"unknown status", `{"clockUs":1,"news":[{"DefineList":{"buffer":2,"rows":[{"server":"s","status":"odd"}]}}]}`, `"odd"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Serve(strings.NewReader(tt.line+"\n"), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), "line 1") || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q for line 1", err, tt.want)
			}
		})
	}
}

func TestModuleErrorIsAFault(t *testing.T) {
	bad := strings.Replace(initBatch("node_0"), `"resolutionUs":5000`, `"resolutionUs":0`, 1)
	reply := serve(t, bad)[0]
	if !strings.Contains(reply, `"GiveIn"`) || !strings.Contains(reply, "tick") {
		t.Errorf("reply to invalid settings: %s", reply)
	}
}

func TestModulePanicIsAFault(t *testing.T) {
	inst := &instance{module: nil} // Step of a nil module panics
	output := inst.step("node_0", 0, []control.Event{control.CallOffered{}})
	if len(output) != 1 || output[0]["GiveIn"] == nil {
		t.Errorf("output after a panic: %v, want one GiveIn", output)
	}
}

func TestEncode(t *testing.T) {
	tests := []struct {
		action control.Action
		want   string
	}{
		{control.SetUp{ID: "a", Server: "s"}, `{"Assign":{"i":"n","requestId":"a","server":"s"}}`},
		{control.SetUp{ID: "a", Server: "s", Limit: time.Second},
			`{"Assign":{"i":"n","requestId":"a","server":"s","tryForUs":1000000}}`},
		{control.Cancel{ID: "a", Attempt: 2}, `{"UndoSend":{"i":"n","requestId":"a","seqNo":2}}`},
		{control.Refuse{ID: "a"}, `{"Shed":{"i":"n","requestId":"a"}}`},
		{control.Refuse{ID: "a", HoldOff: time.Second}, `{"Shed":{"holdOffUs":1000000,"i":"n","requestId":"a"}}`},
		{control.Fail{ID: "a"}, `{"DropRequest":{"i":"n","requestId":"a"}}`},
		{control.Probe{Server: "s"}, `{"Touch":{"i":"n","server":"s"}}`},
		{control.Subscribe{}, `{"Listen":{"i":"n","on":true}}`},
		{control.Wake{After: time.Millisecond}, `{"WakeMe":{"handle":0,"i":"n","sleepForUs":1000}}`},
		{control.Log{Text: "t"}, `{"SayLog":{"i":"n","noteText":"t"}}`},
	}
	for _, tt := range tests {
		got, err := json.Marshal(Encode("n", tt.action))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != tt.want {
			t.Errorf("%T: %s, want %s", tt.action, got, tt.want)
		}
	}
}
