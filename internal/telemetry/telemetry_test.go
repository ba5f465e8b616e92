package telemetry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestText checks the names, types and help texts in the text format, and the escaping of quotes, backslashes and line feeds in
// labels.
func TestText(t *testing.T) {
	var f Metrics
	f.Class("a\"b\\\n").Refused = 2
	f.Class("gone").Served++ // a class that is not in the settings any more
	f.Attempts, f.InFlight, f.Known, f.Excluded, f.ReloadsOK, f.ReloadsFailed = 1234567, 3, 4, 1, 5, 6
	want := `# HELP edge_lb_requests_total Requests that have had their final answer, by class and outcome.
# TYPE edge_lb_requests_total counter
edge_lb_requests_total{class="a\"b\\\n",outcome="served"} 0
edge_lb_requests_total{class="a\"b\\\n",outcome="refused"} 2
edge_lb_requests_total{class="a\"b\\\n",outcome="failed"} 0
edge_lb_requests_total{class="gone",outcome="served"} 1
edge_lb_requests_total{class="gone",outcome="refused"} 0
edge_lb_requests_total{class="gone",outcome="failed"} 0
# HELP edge_lb_attempts_total Attempts written whole to dispatchers.
# TYPE edge_lb_attempts_total counter
edge_lb_attempts_total 1.234567e+06
# HELP edge_lb_in_flight Requests taken that have not ended: set-ups without an answer, and calls that stand.
# TYPE edge_lb_in_flight gauge
edge_lb_in_flight 3
# HELP edge_lb_dispatchers_known Dispatchers on the list.
# TYPE edge_lb_dispatchers_known gauge
edge_lb_dispatchers_known 4
# HELP edge_lb_dispatchers_excluded Dispatchers on the list that are avoided now.
# TYPE edge_lb_dispatchers_excluded gauge
edge_lb_dispatchers_excluded 1
# HELP edge_lb_reloads_ok_total Configurations taken at SIGHUP.
# TYPE edge_lb_reloads_ok_total counter
edge_lb_reloads_ok_total 5
# HELP edge_lb_reloads_failed_total Configurations turned down at SIGHUP.
# TYPE edge_lb_reloads_failed_total counter
edge_lb_reloads_failed_total 6
`
	got, err := f.Text()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
