package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"
)

const completeFile = `
[node]
id = "n1"
zone = "tumwater"
region = "pnw"
[cluster]
seeds = ["127.0.0.1:7001"]
probe_interval = "250ms"
[platform]
log = "http://127.0.0.1:1"
weight_store = "http://127.0.0.1:2"
machines = "http://127.0.0.1:3"
scorer = "http://127.0.0.1:4"
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadFlagsOverrideFile(t *testing.T) {
	zone := "hillsboro"
	loaded, problems := Load(Flags{File: writeFile(t, completeFile), Zone: &zone})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Node.Zone, "hillsboro")
	assert.Equal(t, time.Duration(loaded.Cluster.ProbeInterval), 250*time.Millisecond)
	assert.Equal(t, loaded.Scheduling.Policy, DefaultPolicy)
}

func TestLoadReportsAllProblems(t *testing.T) {
	file := writeFile(t, completeFile+"[shutdown]\ngrace = \"1ms\"\n[nodes]\nid = \"x\"\n")
	level := "loud"
	address := "localhost:80"
	_, problems := Load(Flags{File: file, Level: &level, Callers: &address})
	keys := map[string]bool{}
	for _, problem := range problems {
		keys[problem.Key] = true
		assert.Assert(t, problem.Expected != "", problem.Key)
	}
	for _, key := range []string{"nodes", "nodes.id", "listen.callers", "shutdown.grace", "log.level"} {
		assert.Assert(t, keys[key], "no problem for %s in %v", key, problems)
	}
	assert.Equal(t, len(problems), 5, "%v", problems)
}

func TestLoadUnreadableAndMalformedFiles(t *testing.T) {
	_, problems := Load(Flags{File: filepath.Join(t.TempDir(), "absent.toml")})
	assert.Equal(t, problems[0].Key, "--settings")
	_, problems = Load(Flags{File: writeFile(t, "[node\n")})
	assert.Equal(t, problems[0].Key, "--settings")
}

func TestLoadReportsOnlyTheFileErrorWhenDecodingFails(t *testing.T) {
	_, problems := Load(Flags{File: writeFile(t, "[node]\nid = 3\n")})
	assert.Equal(t, len(problems), 1, "problems caused by the undecoded file are not reported: %v", problems)
}

func TestLoadRejectsUnusableAddresses(t *testing.T) {
	for _, test := range []struct{ text, key string }{
		{"[listen]\npeers = \"0.0.0.0:7070\"\n", "advertise.peers"},
		{"[listen]\npeers = \"[::]:7070\"\n", "advertise.peers"},
		{"[advertise]\npeers = \"0.0.0.0:7070\"\n", "advertise.peers"},
		{"[advertise]\npeers = \"127.0.0.1:0\"\n", "advertise.peers"},
		{"[listen]\ncallers = \"127.0.0.1:7070\"\npeers = \"127.0.0.1:7070\"\n", "listen.peers"},
	} {
		_, problems := Load(Flags{File: writeFile(t, completeFile+test.text)})
		assert.Equal(t, len(problems), 1, "%s: %v", test.text, problems)
		assert.Equal(t, problems[0].Key, test.key)
	}
	unspecified, anyPort := "0.0.0.0:7070", "127.0.0.1:0"
	reachable := "10.0.0.1:7070"
	_, problems := Load(Flags{File: writeFile(t, completeFile), Peers: &unspecified, AdvertisePeers: &reachable})
	assert.Equal(t, len(problems), 0, "%v", problems)
	_, problems = Load(Flags{File: writeFile(t, completeFile), Peers: &anyPort, Callers: &anyPort, Operators: &anyPort})
	assert.Equal(t, len(problems), 0, "listeners on port 0 do not conflict: %v", problems)
	_, problems = Load(Flags{File: writeFile(t, completeFile), Seeds: []string{"127.0.0.1:0"}})
	assert.Equal(t, problems[0].Key, "cluster.seeds[0]")
	query := "http://127.0.0.1:1/log?tenant=2"
	_, problems = Load(Flags{File: writeFile(t, completeFile), LogService: &query})
	assert.Equal(t, len(problems), 1, "a URL with a query is rejected: %v", problems)
}

// Guards against example settings that the daemon rejects.
func TestExampleFileIsValid(t *testing.T) {
	_, problems := Load(Flags{File: filepath.Join("..", "..", "examples", "corkpulleyd.toml")})
	assert.Equal(t, len(problems), 0, "%v", problems)
}

func TestLoadChecksTopology(t *testing.T) {
	valid := "[topology.zones]\ntumwater = \"pnw\"\nhillsboro = \"pnw\"\nomaha = \"plains\"\n"
	loaded, problems := Load(Flags{File: writeFile(t, completeFile+valid)})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Topology.Zones["omaha"], "plains")
	for _, test := range []struct{ text, key, expected string }{
		{"tumwater = \"plains\"", "topology.zones.tumwater", "the region of this node"},
		{"omaha = \"The Plains\"", "topology.zones.omaha", "the name of a region"},
		{"omaha = \"\"", "topology.zones.omaha", "the name of a region"},
		{"\"Omaha 1\" = \"plains\"", "topology.zones.Omaha 1", "the name of a zone"},
	} {
		_, problems := Load(Flags{File: writeFile(t, completeFile+"[topology.zones]\n"+test.text+"\n")})
		assert.Equal(t, len(problems), 1, "%s: %v", test.text, problems)
		assert.Equal(t, problems[0].Key, test.key)
		assert.Assert(t, strings.Contains(problems[0].Expected, test.expected), problems[0].Expected)
	}
}

// Guards against a misspelled order that silently keeps another one, and against due where nothing uses it.
func TestLoadChecksJobOrder(t *testing.T) {
	hosted := "[hosted]\nlog = \"127.0.0.1:1\"\n"
	loaded, problems := Load(Flags{File: writeFile(t, completeFile)})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Scheduling.JobOrder, JobOrderArrival)
	loaded, problems = Load(Flags{File: writeFile(t, completeFile+hosted+"[scheduling]\njob_order = \"due\"\n")})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Scheduling.JobOrder, JobOrderDue)
	for _, text := range []string{
		hosted + "[scheduling]\njob_order = \"\"\n", hosted + "[scheduling]\njob_order = \"Due\"\n",
		"[scheduling]\njob_order = \"deadline\"\n", "[scheduling]\njob_order = \"due\"\n",
	} {
		_, problems = Load(Flags{File: writeFile(t, completeFile+text)})
		assert.Equal(t, len(problems), 1, "%s: %v", text, problems)
		assert.Equal(t, problems[0].Key, "scheduling.job_order")
		assert.Assert(t, strings.Contains(problems[0].Expected, JobOrderArrival), problems[0].Expected)
	}
}

// Guards against a node that starts with an unknown value, or with mixed where nothing uses it.
func TestLoadChecksEngineSpeeds(t *testing.T) {
	hosted := "[hosted]\nlog = \"127.0.0.1:1\"\n"
	loaded, problems := Load(Flags{File: writeFile(t, completeFile)})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Scheduling.EngineSpeeds, EnginesUniform)
	loaded, problems = Load(Flags{File: writeFile(t, completeFile+hosted+"[scheduling]\nengine_speeds = \"mixed\"\n")})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Scheduling.EngineSpeeds, EnginesMixed)
	for _, text := range []string{
		hosted + "[scheduling]\nengine_speeds = \"fast\"\n", hosted + "[scheduling]\nengine_speeds = \"\"\n",
		"[scheduling]\nengine_speeds = \"mixed\"\n",
	} {
		_, problems = Load(Flags{File: writeFile(t, completeFile+text)})
		assert.Equal(t, len(problems), 1, "%s: %v", text, problems)
		assert.Equal(t, problems[0].Key, "scheduling.engine_speeds")
		assert.Assert(t, strings.Contains(problems[0].Expected, EnginesUniform), problems[0].Expected)
	}
}

// Guards against an interval at which nodes would call each other without pause, or an exchange that is on by default.
func TestLoadChecksLoadExchange(t *testing.T) {
	assert.Equal(t, Default().Hosted.LoadExchange, Duration(0))
	const hosted = "[hosted]\nlog = \"127.0.0.1:1\"\nload_exchange = "
	for _, value := range []string{`"0s"`, `"100ms"`, `"10s"`} {
		_, problems := Load(Flags{File: writeFile(t, completeFile+hosted+value+"\n")})
		assert.Equal(t, len(problems), 0, "%s: %v", value, problems)
	}
	for _, value := range []string{`"-1s"`, `"1ns"`, `"99ms"`, `"10001ms"`} {
		_, problems := Load(Flags{File: writeFile(t, completeFile+hosted+value+"\n")})
		assert.Equal(t, len(problems), 1, "%s: %v", value, problems)
		assert.Equal(t, problems[0].Key, "hosted.load_exchange")
		assert.Equal(t, problems[0].Expected, "100ms..10s")
	}
	_, problems := Load(Flags{File: writeFile(t, completeFile+"[hosted]\nload_exchange = \"100ms\"\n")})
	assert.Equal(t, len(problems), 1, "only hosted nodes exchange load data: %v", problems)
	assert.Equal(t, problems[0].Key, "hosted.load_exchange")
}

// Guards against a deployment that enables a setting by a variable which nodes of this build ignore.
func TestVariablesSetSchedulingFlags(t *testing.T) {
	t.Setenv("CORKPULLEY_JOB_ORDER", JobOrderDue)
	t.Setenv("CORKPULLEY_ENGINE_SPEEDS", EnginesMixed)
	flags := Flags{File: writeFile(t, completeFile+"[hosted]\nlog = \"127.0.0.1:1\"\n")}
	parser, err := arg.NewParser(arg.Config{}, &flags)
	assert.NilError(t, err)
	assert.NilError(t, parser.Parse(nil))
	loaded, problems := Load(flags)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, loaded.Scheduling.JobOrder, JobOrderDue)
	assert.Equal(t, loaded.Scheduling.EngineSpeeds, EnginesMixed)
	t.Setenv("CORKPULLEY_ENGINE_SPEEDS", "quick")
	assert.NilError(t, parser.Parse(nil))
	_, problems = Load(flags)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Key, "scheduling.engine_speeds")
}
