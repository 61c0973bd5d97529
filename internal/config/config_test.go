package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ambersill/internal/tuning"
)

const validSettings = `
node = "n0"
zone = "a"
public_addr = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
unheard_of = 3
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
count = 1
[cluster.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 35.0
gang_peer_s = 5.0
cancel_s = 44.0
[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 5.0
[cluster.machine_limits]
ram_mb = 98.0
max_sockets = 700
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// Unknown keys are ignored. Missing and invalid keys give an error that names the key.
func TestLoad(t *testing.T) {
	if _, err := Load(writeFile(t, "s.toml", validSettings)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, names string }{
		{`node = "n0"`, ``, "node"},
		{`public_addr = "127.0.0.1:1"`, `public_addr = "here"`, "public_addr"},
		{`lease_s = 14.0`, `lease_s = 0.0`, "cluster.workers.lease_s"},
		{`txn_ops = 12`, `txn_ops = 1`, "txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[cluster.state.next]\ntxn_ops = 1", "cluster.state.next.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[cluster.state.next]\nvalue_kb = -2.0", "cluster.state.next.value_kb"},
		{`count = 1`, `count = 0`, "cluster.count"},
		{`count = 1`, `count = "x"`, "count"},
		{`node = "n0"`, `node = `, ""},
	} {
		_, err := Load(writeFile(t, "s.toml", strings.Replace(validSettings, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("loading settings with %q: got error %v, want one that names the key", c.to, err)
		}
	}
	if _, err := Load("/nowhere/at/all"); err == nil {
		t.Error("loading a missing settings file: got no error, want one")
	}
}

func TestErrorsNameTheFileAndKey(t *testing.T) {
	settingsPath := writeFile(t, "s.toml", strings.Replace(validSettings, "rps = 5.0", "rps = nan", 1))
	_, err := Load(settingsPath)
	checkErrorNames(t, err, settingsPath, "cluster.cloud.rps")

	policyPath := writeFile(t, "p.star", "RoundS = 'x'")
	tunables := tuning.Default()
	checkErrorNames(t, LoadPolicy(policyPath, &tunables), policyPath, "RoundS")
}

func checkErrorNames(t *testing.T, err error, file, key string) {
	t.Helper()
	var settingsError *Error
	if !errors.As(err, &settingsError) || settingsError.File != file || settingsError.Key != key || settingsError.Problem == "" {
		t.Errorf("got error %v, want one that names file %s and key %s", err, file, key)
	}
}

// Each limit that WriteLimits returns is the lower of the current and the announced one. A limit
// without an announcement does not change.
func TestWriteLimits(t *testing.T) {
	for _, c := range []struct {
		next string
		want StoreLimits
	}{
		{"", StoreLimits{RequestsPerS: 150, WritesPerS: 25, MaxValueKiB: 8, MaxTxnWrites: 12}},
		{"[cluster.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4", StoreLimits{RequestsPerS: 150, WritesPerS: 18, MaxValueKiB: 2, MaxTxnWrites: 4}},
		{"[cluster.state.next]\nrps = 100.0\nvalue_kb = 16.0", StoreLimits{RequestsPerS: 100, WritesPerS: 25, MaxValueKiB: 8, MaxTxnWrites: 12}},
	} {
		s, err := Load(writeFile(t, "s.toml", strings.Replace(validSettings, "txn_ops = 12", "txn_ops = 12\n"+c.next, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.WriteLimits(); got != c.want {
			t.Errorf("write limits with announcement %q: got %+v, want the lower of both", c.next, got)
		}
		if s.Cluster.Store.MaxValueKiB != 8 {
			t.Errorf("current value limit with announcement %q: got %v, want 8", c.next, s.Cluster.Store.MaxValueKiB)
		}
	}
}

func TestLoadPolicy(t *testing.T) {
	v := tuning.Default()
	if err := LoadPolicy(writeFile(t, "p.star", "_min = 60\ndef twice(x):\n    return 2 * x\nGiveBackS = twice(_min)\nParts = 2\n"), &v); err != nil {
		t.Fatal(err)
	}
	if v.GiveBackS != 120 || v.Parts != 2 {
		t.Fatalf("tunables after the policy: got %+v, want GiveBackS 120 and Parts 2", v)
	}
	for _, bad := range []string{"Nonsense = 1", "giveBackS = 1", "GiveBackS = -1", "GiveBackS = 'x'", "Parts = 1.5", "RoundS = 0", "while True: pass", "x ="} {
		if err := LoadPolicy(writeFile(t, "p.star", bad), &v); err == nil {
			t.Errorf("loading policy %q: got no error, want one", bad)
		}
	}
}
