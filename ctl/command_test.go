package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

const (
	validRules   = "region a domains=a1 # net\nservice search host=s regions=a # web\ngoal search latency=300ms share=99% window=30d # web\n"
	drainRules   = validRules + "drain server 10.0.0.1:80 # disks\n"
	invalidRules = "region a domains=a1 # net\nservice search host=s regions=b # web\nnonsense\n"
)

// operatorEnv is an environment for running yuccactl: a platform, the admin address
// of one entry and a folder with files.
type operatorEnv struct {
	platform *yuccafake.Platform
	dir      string
	// windows holds the counts that the entry reports.
	windows *yuccaburn.Windows
	// rulesVersion is the version that the entry reports as in force.
	rulesVersion uint64
}

// newOperatorEnv returns an environment without rules in force.
func newOperatorEnv(t *testing.T) *operatorEnv {
	env := &operatorEnv{platform: yuccafake.NewPlatform(), dir: t.TempDir(), windows: yuccaburn.NewWindows()}
	api := serve(t, yuccafake.API(env.platform, nil))
	admin := serve(t, env.serveAdmin)
	env.platform.SetInstances(yuccastore.Instance{Name: "e1", Kind: yuccastore.KindEntry, Region: "a", Domain: "a1", Admin: admin})
	env.write(t, "yuccactl.toml", "store = \"http://"+api+"\"\nby = \"ops\"\n")
	env.write(t, "unreachable.toml", "store = \"http://127.0.0.1:1\"\n")
	env.write(t, "good.txt", validRules)
	env.write(t, "more.txt", drainRules)
	env.write(t, "bad.txt", invalidRules)
	env.write(t, "entries.log", "time=2026-05-01T17:19:53Z level=info event=request_failed entry=e1 kind=shed request=abc status=503 run=no\n"+
		`time=2026-05-01T17:19:54Z level=info event=placement chosen={"object":6,"refused":1} entry=e1 late={"queue":2} service=search`)
	env.write(t, "other.log", "time=2026-05-01T17:19:53Z level=info event=listening entry=e1\n")
	return env
}

// serve runs an HTTP server until the test ends and returns its address.
func serve(t *testing.T, h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &fasthttp.Server{Handler: h}
	group := &errgroup.Group{}
	group.Go(func() error { return s.Serve(l) })
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = s.ShutdownWithContext(ctx)
		_ = group.Wait()
	})
	return l.Addr().String()
}

// serveAdmin answers the requests to the entry's admin pages.
func (env *operatorEnv) serveAdmin(ctx *fasthttp.RequestCtx) {
	var page any = yuccasync.Status{
		Name: "e1", Region: "a", Domain: "a1", Ready: true, Rules: env.rulesVersion, Plan: 7, Epoch: 2, PlannedAt: time.Now(),
		Use:   []yuccasync.BudgetUsage{{Service: "search", Region: "a", InFlight: 3, Slots: 12}},
		Ramps: []yuccaplan.Ramp{{Service: "search", From: "a", Remaining: 0.4, End: time.Date(2027, 3, 27, 20, 0, 0, 0, time.UTC)}},
	}
	if string(ctx.Path()) == "/burn" {
		set := yuccaburn.SnapshotSet{}.With(yuccaburn.Snapshot{Origin: "e1", Run: "1", Seq: 1, At: time.Now(), Windows: env.windows})
		page, _ = yuccaburn.ExportSnapshots(set)
	}
	body, _ := json.Marshal(page)
	ctx.SetBody(body)
}

// write creates a file in the folder.
func (env *operatorEnv) write(t *testing.T, name, text string) {
	qt.Assert(t, os.WriteFile(filepath.Join(env.dir, name), []byte(text), 0o600), qt.IsNil)
}

// run runs yuccactl and returns its output, with the error's text, and its exit
// code. An argument @NAME is replaced by the path of that file in the folder.
func (env *operatorEnv) run(args ...string) (string, int) {
	full := []string{"--settings", filepath.Join(env.dir, "yuccactl.toml")}
	for _, a := range args {
		if a[0] == '@' {
			a = filepath.Join(env.dir, a[1:])
		}
		full = append(full, a)
	}
	var out bytes.Buffer
	c := newCommand()
	c.SetOut(&out)
	c.SetArgs(full)
	err := c.ExecuteContext(context.Background())
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), yuccaerror.KindOf(err).Attributes().ExitCode
}

func TestCommands(t *testing.T) {
	tests := []struct {
		name string
		args []string
		exit int
		want string
	}{
		{"check good", []string{"check", "@good.txt"}, 0, "no faults"},
		{"check bad", []string{"check", "@bad.txt"}, 1, `bad.txt:2:31: unknown region "b"`},
		{"check all problems", []string{"check", "@bad.txt"}, 1, "bad.txt:3:9: nobody is named"},
		{"check json", []string{"check", "@bad.txt", "--json"}, 1, `"line": 2`},
		{"check no file", []string{"check", "@none.txt"}, 1, "no such file"},
		{"check without file", []string{"check"}, 2, "accepts 1 arg"},
		{"unknown flag", []string{"check", "--nope"}, 2, "unknown flag"},
		{"unknown command", []string{"chek"}, 2, "unknown command"},
		{"show nothing", []string{"show"}, 1, "no such object"},
		{"apply bad", []string{"apply", "@bad.txt"}, 1, "unknown region"},
		{"apply", []string{"apply", "@good.txt"}, 0, "version 1 accepted"},
		{"unreachable", []string{"apply", "@good.txt", "--settings", "@unreachable.toml"}, 3, "platform"},
		{"bad settings", []string{"status", "--settings", "@good.txt"}, 1, "good.txt"},
		{"status", []string{"status"}, 0, "3 of 12"},
		{"status of the plan", []string{"status"}, 0, "plan 7 of epoch 2, made "},
		{"status of ramps", []string{"status"}, 0, "moving: search from a, 40% left, done about 2027-03-27T20:00:00Z"},
		{"version", []string{"version"}, 0, "yuccactl"},
		{"explain", []string{"explain", "abc", "@entries.log"}, 0, "e1: shed, status 503"},
		{"explain what no line names", []string{"explain", "other", "@entries.log"}, 1, "No line names request other"},
		{"causes", []string{"causes", "@entries.log"}, 0, "search    6       1        2     2"},
		{"causes over time", []string{"causes", "--every", "10s", "@entries.log"}, 0, "17:19:50  6       1        2     2      ######"},
		{"causes json", []string{"causes", "--json", "@entries.log"}, 0, `"placed": 6`},
		{"causes of a log without placement", []string{"causes", "@other.log"}, 1, "no line says"},
		{"causes of no time", []string{"causes", "--every", "0s", "@entries.log"}, 2, "--every must be above 0"},
		{"diff without file", []string{"diff"}, 2, "accepts 1 arg"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			out, exit := newOperatorEnv(t).run(test.args...)
			c.Assert(exit, qt.Equals, test.exit, qt.Commentf("%s", out))
			c.Assert(out, qt.Contains, test.want)
		})
	}
}

func TestApplyShowDiff(t *testing.T) {
	c := qt.New(t)
	env := newOperatorEnv(t)
	_, exit := env.run("apply", "@good.txt")
	c.Assert(exit, qt.Equals, 0)
	shown, exit := env.run("show")
	c.Assert(exit, qt.Equals, 0)
	c.Assert(shown, qt.Contains, "# version 1 by ops at ")
	c.Assert(shown, qt.Contains, validRules)
	out, _ := env.run("diff", "@more.txt")
	c.Assert(out, qt.Equals, "+ drain   server 10.0.0.1:80  # disks\n")

	env.write(t, "shown.txt", shown+"drain server 10.0.0.2:80 # mine\n")
	out, exit = env.run("apply", "@more.txt")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	out, exit = env.run("apply", "@shown.txt")
	c.Assert(exit, qt.Equals, 1)
	c.Assert(out, qt.Contains, "based on version 1, version 2 by ops is in force")
	c.Assert(out, qt.Contains, "- drain   server 10.0.0.1:80")
}

func TestApplyWaitReportsOutdatedEntries(t *testing.T) {
	tests := []struct {
		name  string
		rules uint64
		exit  int
		want  string
	}{
		{"in force", 1, 0, "version 1 in force at every live entry"},
		{"outdated", 0, 3, "not in force at e1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			env := newOperatorEnv(t)
			env.rulesVersion = test.rules
			out, exit := env.run("apply", "@good.txt", "--wait", "--timeout", "500ms")
			c.Assert(exit, qt.Equals, test.exit, qt.Commentf("%s", out))
			c.Assert(out, qt.Contains, test.want)
		})
	}
}

// TestApplyConfirmsWriteAfterLostReply drops the platform's reply to the write. It
// expects that apply reads the rules back, reports the version as accepted and
// doesn't write a second one.
func TestApplyConfirmsWriteAfterLostReply(t *testing.T) {
	c := qt.New(t)
	env := newOperatorEnv(t)
	env.platform.Fail(yuccafake.PlatformFaults{LostReplies: 1})
	out, exit := env.run("apply", "@good.txt")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "version 1 accepted")
	out, _ = env.run("show")
	c.Assert(out, qt.Contains, "# version 1 ")
}

func TestReport(t *testing.T) {
	c := qt.New(t)
	env := newOperatorEnv(t)
	_, exit := env.run("apply", "@good.txt")
	c.Assert(exit, qt.Equals, 0)
	key := yuccaburn.Key{Service: "search", OriginRegion: "a"}
	for range 99 {
		env.windows.Record(time.Now(), key, yuccaburn.Good, false)
	}
	env.windows.Record(time.Now(), key, yuccaburn.Late, false)
	out, exit := env.run("report", "--svg", "@burn.svg")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Matches, `(?s).*search +all +99% in 300ms +30d +100 +0 +1 +0 +0 +100% +0% .*`)
	svg, err := os.ReadFile(filepath.Join(env.dir, "burn.svg"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(svg), qt.Contains, "Error budget spent")
	out, _ = env.run("report", "--json")
	var r yuccaburn.Report
	c.Assert(json.Unmarshal([]byte(out), &r), qt.IsNil)
	c.Assert(r.Goals[0].Count, qt.Equals, yuccaburn.Count{Total: 100, Late: 1})
}
