package sched

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/result"
)

// taskRef identifies a task in the model.
type taskRef struct {
	key   Key
	index int
}

// model records what a Scheduler should hold, in the simplest form. It shares
// no code with the Scheduler.
type model struct {
	t         *rapid.T
	s         *Scheduler
	now       time.Time
	teams     map[string]Team
	endpoints map[string]Endpoint
	waiting   map[taskRef]bool
	running   map[taskRef]string
	deadline  map[Key]time.Time
	team      map[Key]string
	removed   map[Key]bool
	jobCount  int
}

var (
	modelTeams     = []string{"a", "b", "c"}
	modelDomains   = []string{"d1", "d2"}
	modelEndpoints = []string{"e1", "e2", "e3", "e4"}
)

func newModel(t *rapid.T) *model {
	cfg := DefaultConfig()
	cfg.MaxWaiting = 60
	cfg.Retry.MaxBudget = 4
	cfg.Reserve.MaxFraction = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "reserve")
	return &model{
		t: t, s: New(cfg, rand.New(rand.NewPCG(1, 2))), now: time.Unix(1000, 0),
		teams: map[string]Team{}, endpoints: map[string]Endpoint{},
		waiting: map[taskRef]bool{}, running: map[taskRef]string{},
		deadline: map[Key]time.Time{}, team: map[Key]string{}, removed: map[Key]bool{},
	}
}

func (m *model) newJob() Job {
	m.jobCount++
	key := Key{byte(m.jobCount >> 8), byte(m.jobCount)}
	n := rapid.IntRange(1, 8).Draw(m.t, "tasks")
	j := Job{
		Key:      key,
		Team:     rapid.SampledFrom(modelTeams).Draw(m.t, "team"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(m.t, "deadline")) * time.Second),
	}
	for i := range n {
		j.Waiting = append(j.Waiting, i)
	}
	return j
}

func (m *model) recordJob(j Job) {
	m.deadline[j.Key] = j.Deadline
	m.team[j.Key] = j.Team
	for _, i := range j.Waiting {
		m.waiting[taskRef{j.Key, i}] = true
	}
}

func (m *model) admit(t *rapid.T) {
	j := m.newJob()
	if m.s.Admit(m.now, j) == result.OK {
		_, known := m.teams[j.Team]
		must.True(t, known)
		must.True(t, m.now.Before(j.Deadline))
		m.recordJob(j)
		must.LessEq(t, 60, len(m.waiting))
	}
}

func (m *model) restore(*rapid.T) {
	j := m.newJob()
	occupied := rapid.IntRange(0, len(j.Waiting)).Draw(m.t, "occupied")
	for _, i := range j.Waiting[:occupied] {
		name := rapid.SampledFrom(modelEndpoints).Draw(m.t, "endpoint")
		team := rapid.SampledFrom([]string{j.Team, ""}).Draw(m.t, "known team")
		m.s.RestoreRunningTask(j.Key, i, name, team)
		m.running[taskRef{j.Key, i}] = name
		m.team[j.Key] = j.Team
	}
	j.Waiting = j.Waiting[occupied:]
	m.s.RestoreJob(m.now, j)
	m.recordJob(j)
}

func (m *model) start(t *rapid.T) {
	for {
		a, ok := m.s.Next(m.now)
		if !ok {
			m.checkNoStartableTask(t)
			return
		}
		ref := taskRef{a.Key, a.Index}
		must.True(t, m.waiting[ref])
		must.True(t, m.now.Before(m.deadline[a.Key]))
		e := m.endpoints[a.Endpoint]
		must.Eq(t, InService, e.State)
		team := m.teams[m.team[a.Key]]
		must.True(t, len(team.Domains) == 0 || slices.Contains(team.Domains, e.FailureDomain))
		delete(m.waiting, ref)
		m.running[ref] = a.Endpoint
		must.LessEq(t, e.Slots, m.countRunning(func(_ taskRef, on string) bool { return on == a.Endpoint }))
		if team.MaxRunning > 0 {
			n := m.countRunning(func(r taskRef, _ string) bool { return m.team[r.key] == team.Name })
			must.LessEq(t, team.MaxRunning, n)
		}
	}
}

// checkNoStartableTask checks that no waiting task could start. With a reserve
// for short tasks, it only checks this while nothing runs.
func (m *model) checkNoStartableTask(t *rapid.T) {
	if m.s.cfg.Reserve.MaxFraction > 0 && len(m.running) > 0 {
		return
	}
	for ref := range m.waiting {
		team := m.teams[m.team[ref.key]]
		if team.Name == "" || !m.now.Before(m.deadline[ref.key]) {
			continue
		}
		running := m.countRunning(func(r taskRef, _ string) bool { return m.team[r.key] == team.Name })
		if team.MaxRunning > 0 && running >= team.MaxRunning {
			continue
		}
		for _, e := range m.s.Endpoints(m.now) {
			allowed := len(team.Domains) == 0 || slices.Contains(team.Domains, e.FailureDomain)
			must.False(t, allowed && e.Running < e.Allowed, must.Sprintf("%s could run a task of team %s", e.Name, team.Name))
		}
	}
}

func (m *model) countRunning(match func(taskRef, string) bool) int {
	n := 0
	for ref, on := range m.running {
		if match(ref, on) {
			n++
		}
	}
	return n
}

func (m *model) pickRunning() (taskRef, string, bool) {
	if len(m.running) == 0 {
		return taskRef{}, "", false
	}
	refs := slices.SortedFunc(maps.Keys(m.running), func(x, y taskRef) int {
		return slices.Compare(append(x.key[:], byte(x.index)), append(y.key[:], byte(y.index)))
	})
	ref := rapid.SampledFrom(refs).Draw(m.t, "task")
	return ref, m.running[ref], true
}

func (m *model) end(*rapid.T) {
	ref, on, ok := m.pickRunning()
	if !ok {
		return
	}
	code := rapid.SampledFrom([]result.Code{
		result.OK, result.OK, result.TaskFailed, result.OutcomeUnknown, result.DeadlineAfterStart, result.CancelledAfterStart,
	}).Draw(m.t, "code")
	run := time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "run")) * time.Millisecond
	m.s.TaskEnded(m.now, ref.key, ref.index, on, Completion{Code: code, RunTime: run})
	delete(m.running, ref)
}

func (m *model) notStarted(t *rapid.T) {
	ref, on, ok := m.pickRunning()
	if !ok {
		return
	}
	code := rapid.SampledFrom([]result.Code{result.EndpointUnreachable, result.NoFreeSlot}).Draw(m.t, "code")
	again := m.s.TaskNotStarted(m.now, ref.key, ref.index, on, code)
	delete(m.running, ref)
	if again {
		must.False(t, m.removed[ref.key])
		m.waiting[ref] = true
	}
}

func (m *model) remove(*rapid.T) {
	if m.jobCount == 0 {
		return
	}
	n := rapid.IntRange(1, m.jobCount).Draw(m.t, "job")
	m.removeKey(Key{byte(n >> 8), byte(n)})
}

func (m *model) removeKey(key Key) {
	want := 0
	for ref := range m.waiting {
		if ref.key == key {
			want++
		}
	}
	dropped := m.s.RemoveJob(m.now, key)
	must.Len(m.t, want, dropped)
	for _, i := range dropped {
		must.True(m.t, m.waiting[taskRef{key, i}])
		delete(m.waiting, taskRef{key, i})
	}
	m.removed[key] = true
}

func (m *model) expire(t *rapid.T) {
	for _, key := range m.s.TakeExpired(m.now) {
		must.False(t, m.now.Before(m.deadline[key]))
		m.removeKey(key)
	}
	for ref := range m.waiting {
		must.True(t, m.now.Before(m.deadline[ref.key]))
	}
}

func (m *model) advanceTime(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(m.t, "pass")) * time.Millisecond)
}

func (m *model) setEndpoint(*rapid.T) {
	e := Endpoint{
		Name:          rapid.SampledFrom(modelEndpoints).Draw(m.t, "endpoint"),
		FailureDomain: rapid.SampledFrom(modelDomains).Draw(m.t, "domain"),
		Slots:         rapid.IntRange(0, 4).Draw(m.t, "slots"),
		State:         rapid.SampledFrom([]EndpointState{InService, InService, OutOfService, Leaving, Detached}).Draw(m.t, "state"),
	}
	m.s.SetEndpoint(m.now, e)
	m.endpoints[e.Name] = e
}

func (m *model) removeEndpoint(*rapid.T) {
	name := rapid.SampledFrom(modelEndpoints).Draw(m.t, "endpoint")
	m.s.RemoveEndpoint(m.now, name)
	m.endpoints[name] = Endpoint{State: Detached}
}

func (m *model) setTeams(*rapid.T) {
	m.teams = map[string]Team{}
	var teams []Team
	for _, name := range modelTeams {
		if rapid.IntRange(0, 4).Draw(m.t, "absent") == 0 {
			continue
		}
		team := Team{
			Name: name, Weight: rapid.IntRange(1, 3).Draw(m.t, "weight"),
			MaxRunning: rapid.IntRange(0, 5).Draw(m.t, "max running"),
			MaxQueued:  rapid.IntRange(0, 20).Draw(m.t, "max queued"),
		}
		if rapid.Bool().Draw(m.t, "bound to a domain") {
			team.Domains = modelDomains[:1]
		}
		m.teams[name] = team
		teams = append(teams, team)
	}
	m.s.SetTeams(m.now, teams)
}

func (m *model) check(t *rapid.T) {
	must.NoError(t, m.s.CheckInvariants())
	stats := m.s.Stats()
	must.Eq(t, len(m.waiting), stats.Waiting)
	must.Eq(t, len(m.running), stats.Running)
	running := map[string]int{}
	for _, on := range m.running {
		running[on]++
	}
	for _, e := range m.s.Endpoints(m.now) {
		must.Eq(t, running[e.Name], e.Running)
	}
}

// TestRandomCallsKeepInvariants guards against a sequence of calls that loses a
// task or a slot, uses one twice, or breaks a limit of a team. After each call
// it compares the Scheduler with a model.
func TestRandomCallsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.setTeams(t)
		t.Repeat(map[string]func(*rapid.T){
			"":                m.check,
			"admit":           m.admit,
			"admit more":      m.admit,
			"restore":         m.restore,
			"start":           m.start,
			"start more":      m.start,
			"end":             m.end,
			"end more":        m.end,
			"not started":     m.notStarted,
			"remove":          m.remove,
			"expire":          m.expire,
			"pass":            m.advanceTime,
			"set endpoint":    m.setEndpoint,
			"more endpoints":  m.setEndpoint,
			"remove endpoint": m.removeEndpoint,
			"set teams":       m.setTeams,
		})
	})
}

func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := New(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	s.SetTeams(now, []Team{{Name: "desk", Weight: 1}})
	s.SetEndpoint(now, Endpoint{Name: "comas-1", FailureDomain: "comas", Slots: 8})
	code := s.Admit(now, Job{Key: Key{1}, Team: "desk", Waiting: []int{0}, Deadline: now.Add(time.Second)})
	a, ok := s.Next(now)
	fmt.Println(code, a.Endpoint, a.Index, ok)
	// Output: 0 OK comas-1 0 true
}

// fixedSeed is the seed of the random calls unless -rapid.seed is given.
const fixedSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
