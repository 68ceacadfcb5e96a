package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/config"
)

const smallConfig = `
pools:
  - {name: hull, models: [hull-7b], prefill: 1, decode: 1}
  - {name: yard, role: application}
endpoints:
  - {name: h1, addr: "10.0.0.1:80", blocks: 64, centre: hall1, region: coast, pool: hull, role: prefill, models: [hull-7b]}
  - {name: h2, addr: "10.0.0.2:80", blocks: 64, centre: hall1, region: coast, pool: hull, role: decode, checks: [fence]}
  - {name: y1, addr: "10.0.0.3:80", centre: hall1, region: coast, pool: yard, role: application}
routes:
  - {name: drafts, pool: hull, models: [hull-7b], class: batch, timeout: 5m}
accounts:
  - {name: gate, rate: 2.5, keys: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]}
drains:
  - {name: y1}
`

// TestLoadStatic guards against fields that are lost between the file and the
// snapshot.
func TestLoadStatic(t *testing.T) {
	p := filepath.Join(t.TempDir(), "small.yaml")
	assert.NilError(t, os.WriteFile(p, []byte(smallConfig), 0o600))
	c, err := config.LoadStatic(p)
	assert.NilError(t, err)
	s := c.Snapshot()
	assert.Equal(t, s.Version, uint64(1))
	assert.Equal(t, s.Pools["hull"].Decode, 1)
	assert.Equal(t, s.Pools["hull"].FirstTokenTarget.String(), "1.6s")
	assert.Equal(t, s.Endpoints["h2"].Capabilities.Fences, true)
	assert.Equal(t, s.Endpoints["h2"].Addr.String(), "10.0.0.2:80")
	assert.Equal(t, s.Routes["drafts"].Timeout.String(), "5m0s")
	assert.Equal(t, s.Accounts["gate"].Burst, 3)
	assert.Assert(t, s.Drained["y1"])
	for h, a := range s.Keys {
		assert.Equal(t, a.Name, s.Accounts["gate"].Name)
		assert.Equal(t, config.KeyHash(h), config.HashKey("test"))
	}
}

// TestIssues guards against faults that are not reported or are reported with a wrong
// position or text.
func TestIssues(t *testing.T) {
	for _, c := range []struct {
		name string
		old  string
		new  string
		want string
	}{
		{"unknown field", "decode: 1}", "decode: 1, colour: red}", "f.yaml:3:60: pools[0].colour: unknown field; want one of decode"},
		{"unknown section", "routes:", "roads:", "f.yaml:9:1: roads: unknown section; want one of accounts"},
		{"bad duration", "timeout: 5m", "timeout: 5", "f.yaml:10:74: routes[0].timeout: parse duration"},
		{"range", "timeout: 5m", "timeout: 5h", "f.yaml:10:74: route/drafts.timeout: 5h0m0s is out of range; want 10ms to 1h0m0s"},
		{"reference", "pool: hull, models: [hull-7b], class", "pool: hulk, models: [hull-7b], class", `f.yaml:10:26: route/drafts.pool: no pool "hulk"`},
		{"sum of sizes", "decode: 1}", "decode: 2}", "pool/hull.decode: prefill and decode sum to 3; want at most 2"},
		{"model", "models: [hull-7b], class", "models: [hull-9b], class", `route/drafts.models.[0]: pool hull has no model "hull-9b"; want one of hull-7b`},
		{"region", "centre: hall1, region: coast, pool: yard", "centre: hall1, region: hills, pool: yard", "endpoint/y1.region: data centre hall1 is in region coast"},
		{"address", "10.0.0.2", "10.0.0.1", "endpoint/h2.addr: address 10.0.0.1:80 is also that of endpoint h1"},
		{"same name", "name: h2", "name: h1", "endpoint/h1.name: endpoint/h1 is given twice"},
		{"clear key", "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", "hunter2", "accounts[0].keys[0]: text of 7 bytes is no key hash"},
		{"hedge", "class: batch", "hedge: true", "route/drafts.hedge: calls that may not be repeated cannot be hedged"},
		{"drain", "name: y1}\n", "name: y9}\n", `drain/y9.name: no endpoint "y9"`},
		{"syntax", "pools:", "pools: [", "f.yaml:"},
		{"no list", "drains:\n  - {name: y1}", "drains: y1", "f.yaml:13:9: drains: no list"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := strings.LastIndex(smallConfig, c.old)
			assert.Assert(t, i >= 0)
			objects, issues := config.ParseYAML("f.yaml", []byte(smallConfig[:i]+c.new+smallConfig[i+len(c.old):]))
			text := append(issues, config.Validate(objects)...).Error()
			assert.Assert(t, strings.Contains(text, c.want), "%s", text)
		})
	}
}

// TestAllIssues guards against a loader that stops at the first of several faults.
func TestAllIssues(t *testing.T) {
	p := filepath.Join(t.TempDir(), "bad.yaml")
	bad := "pools:\n  - {name: a, models: [m], first: 1ms}\nroutes:\n  - {name: r, pool: b, timeout: 9h}\nextra: 1\n"
	assert.NilError(t, os.WriteFile(p, []byte(bad), 0o600))
	_, err := config.LoadStatic(p)
	var issues config.Issues
	assert.Assert(t, errors.As(err, &issues))
	assert.Equal(t, len(issues), 4, "%v", err)
}

// TestUnreadable guards against small files that keep the YAML library's parser busy
// for minutes or exhaust its stack.
func TestUnreadable(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{strings.Repeat("[", 1<<20), "f:1:1: line of 1048576 bytes; want lines of at most 65536 bytes"},
		{strings.Repeat("[\n", 1<<20), "f:129:1: content is nested too deeply; want at most 128 levels"},
		{strings.Repeat("- ", 1<<10), "f:1:257: content is nested too deeply"},
		{strings.Repeat("a", config.MaxFileBytes+1), "f: file of 16777217 bytes; want at most 16777216 bytes"},
	} {
		_, issues := config.ParseYAML("f", []byte(c.text))
		assert.Equal(t, len(issues), 1)
		assert.Assert(t, strings.HasPrefix(issues[0].String(), c.want), issues[0].String())
	}
}

// TestParseSheet guards against sheets whose CSV dialect is misread or whose faults
// are not reported.
func TestParseSheet(t *testing.T) {
	const head = "day,pool,model,from,to,rate,prefill,decode\n"
	for _, c := range []struct {
		name string
		data string
		want string // part of the issues; empty if the sheet is valid
	}{
		{"right", head + "2026-12-04,hull,hull-7b,06:00,12:00,1.5,1,1\n2026-12-04,hull,hull-7b,12:00,24:00,1,1,1\n", ""},
		{"semicolons", "\ufeffday;pool;model;from;to;rate;prefill;decode\r\n2026-12-04;hull;hull-7b;06:00;12:00;1,5;1;1\r\n", ""},
		{"overlap", head + "2026-12-04,hull,hull-7b,06:00,12:00,1,0,1\n2026-12-04,hull,hull-7b,11:00,13:00,1,0,1\n", "s.csv:3:25: sheet/2026-12-04.rows.[1].from: row overlaps row 1"},
		{"sum", head + "2026-12-04,hull,hull-7b,06:00,12:00,1,5,40\n", "s.csv:2:41: sheet/2026-12-04.rows.[0].decode: 45 replicas of pool hull in sum at 06:00; want at most 2"},
		{"two days", head + "2026-12-04,hull,hull-7b,06:00,12:00,1,1,1\n2026-12-05,hull,hull-7b,11:00,13:00,1,1,1\n", "s.csv:3:1: day: second day 2026-12-05"},
		{"negative", head + "2026-12-04,hull,hull-7b,06:00,12:00,-1,1,-1\n", `s.csv:2:37: rate: cannot use "-1"`},
		{"short row", head + "2026-12-04,hull\n", "s.csv:2:1: wrong number of fields"},
		{"column", "day,pool\n", `no column "rate"`},
		{"empty", "", "empty sheet"},
		{"no rows", head, "sheet without rows"},
		{"backwards", head + "2026-12-04,hull,hull-7b,12:00,06:00,1,1,1\n", "span from"},
	} {
		t.Run(c.name, func(t *testing.T) {
			base, _ := config.ParseYAML("f.yaml", []byte(smallConfig))
			objects, issues := config.ParseFile("s.csv", []byte(c.data))
			issues = append(issues, config.Validate(append(base, objects...))...)
			if c.want == "" {
				assert.Equal(t, len(issues), 0, "%v", issues)
				row := objects[0].Spec.(*config.SheetSpec).Rows[0]
				assert.Equal(t, row.Rate, 1.5)
				assert.Equal(t, row.From.Format("15:04"), "06:00")
				return
			}
			assert.Assert(t, strings.Contains(issues.Error(), c.want), "%s", issues.Error())
		})
	}
}

func FuzzYAML(f *testing.F) {
	f.Add([]byte(smallConfig))
	f.Add([]byte(`{"pools":[{"name":"a"}]}`))
	f.Add([]byte("a: &x [*x]\n<<: *x"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		objects, _ := config.ParseYAML("f.yaml", data)
		config.Validate(objects)
		config.NewState(objects)
	})
}

func FuzzSheet(f *testing.F) {
	f.Add([]byte("day,pool,model,from,to,rate,prefill,decode\n2026-12-04,hull,hull-7b,06:00,24:00,1.5,1,1\n"))
	f.Add([]byte("day;pool;model;from;to;rate;prefill;decode\n2026-12-04;a;b;0:0;1:1;1,5;1;1\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		objects, _ := config.ParseFile("s.csv", data)
		config.Validate(objects)
		config.NewState(objects)
	})
}
