package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/client"
	"github.com/pomelosill/pomelosill/internal/result"
)

// requestTimeout bounds a request that does not wait for a job.
const requestTimeout = 15 * time.Second

const submitDescription = `Submits one job and waits for its answer. The id is printed first, so that the
job can be resubmitted with --id through any entry: a job is never started twice
under one id.

   pomelosill submit --team alerts --tasks 20 --run-ms 100
   pomelosill submit --file job.json --id 01997d0c-...

Without --file the tasks' payload is {"run_ms": N}, for the simulated endpoints
of tests and demos. The file contains the job in the form of POST /v1/jobs:
{"team": "alerts", "timeout_ms": 30000, "tasks": [{"payload": {}}]}.`

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submit a job and wait for its answer",
		Description: submitDescription,
		Flags: []cli.Flag{
			entryFlag(),
			tokenFlag(),
			jsonFlag(),
			&cli.StringFlag{Name: "team", Usage: "the job's `TEAM`"},
			&cli.IntFlag{Name: "tasks", Value: 1, Usage: "number of tasks, at most 120"},
			&cli.Int64Flag{Name: "run-ms", Value: 100, Usage: "run time of each task in milliseconds"},
			&cli.BoolFlag{Name: "idempotent", Usage: "mark the tasks as idempotent"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "time until the job's deadline"},
			&cli.StringFlag{Name: "file", Usage: "read the job from a JSON `FILE`"},
			&cli.StringFlag{Name: "id", Usage: "submission `ID`, to resubmit a job (default: a new one)"},
		},
		Action: runSubmit,
	}
}

func runSubmit(ctx context.Context, c *cli.Command) error {
	job, err := jobFromFlags(c)
	if err != nil {
		return err
	}
	cl, err := newClient(c, "entry")
	if err != nil {
		return err
	}
	defer cl.Close()
	if !c.Bool("json") {
		_, _ = fmt.Fprintln(c.Root().ErrWriter, "submitting", job.ID)
	}
	timeout := time.Duration(job.TimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout+answerGracePeriod)
	defer cancel()
	answer, err := cl.Submit(ctx, job)
	if err != nil {
		return err
	}
	return showAnswer(c, answer)
}

func jobFromFlags(c *cli.Command) (api.Job, error) {
	job, err := newJob(c)
	if err != nil {
		return job, err
	}
	if c.String("id") != "" {
		job.ID = c.String("id")
	}
	if job.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return job, err
		}
		job.ID = id.String()
	}
	return job, nil
}

// newJob reads the job from the file, or makes one for simulated endpoints.
func newJob(c *cli.Command) (api.Job, error) {
	if path := c.String("file"); path != "" {
		return readJob(path)
	}
	if c.String("team") == "" {
		return api.Job{}, usageErrorf("give --team or --file; see pomelosill submit --help")
	}
	tasks := c.Int("tasks")
	if tasks < 1 || tasks > api.MaxTasks {
		return api.Job{}, usageErrorf("--tasks must be from 1 to %d", api.MaxTasks)
	}
	job := api.Job{Team: c.String("team"), TimeoutMS: c.Duration("timeout").Milliseconds()}
	payload := fmt.Appendf(nil, `{"run_ms":%d}`, c.Int64("run-ms"))
	for range tasks {
		job.Tasks = append(job.Tasks, api.Task{
			Payload:       payload,
			Idempotent:    c.Bool("idempotent"),
			DeclaredRunMS: c.Int64("run-ms"),
		})
	}
	return job, nil
}

func readJob(path string) (api.Job, error) {
	var job api.Job
	text, err := os.ReadFile(path)
	if err != nil {
		return job, usageErrorf("cannot read the job file: %v", err)
	}
	if err := json.Unmarshal(text, &job); err != nil {
		return job, usageErrorf("invalid job file %s: %v", path, err)
	}
	return job, nil
}

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:      "job",
		Usage:     "show the state of a job, and its answer after it has ended",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{entryFlag(), tokenFlag(), jsonFlag()},
		Action:    runJob,
	}
}

// withJob calls do with a client and with the submission id from the command
// line.
func withJob(ctx context.Context, c *cli.Command, do func(ctx context.Context, cl *client.Client, id string) error) error {
	id, err := oneArgument(c, "a submission id")
	if err != nil {
		return err
	}
	cl, err := newClient(c, "entry")
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return do(ctx, cl, id)
}

func runJob(ctx context.Context, c *cli.Command) error {
	return withJob(ctx, c, func(ctx context.Context, cl *client.Client, id string) error {
		return showJob(ctx, c, cl, id)
	})
}

func showJob(ctx context.Context, c *cli.Command, cl *client.Client, id string) error {
	status, err := cl.Job(ctx, id)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, status)
	}
	if status.Answer == nil {
		_, err = fmt.Fprintf(c.Root().Writer, "%s  team %s  %s\n", id, status.Team, status.State)
		return err
	}
	return writeAnswer(c.Root().Writer, *status.Answer)
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "request the cancellation of a job; its answer shows whether that came in time",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{entryFlag(), tokenFlag()},
		Action:    runCancel,
	}
}

func runCancel(ctx context.Context, c *cli.Command) error {
	return withJob(ctx, c, func(ctx context.Context, cl *client.Client, id string) error {
		if err := cl.Cancel(ctx, id); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.Root().Writer, "cancellation requested")
		return err
	})
}

// showAnswer prints an answer, and returns a statusError unless its code is OK.
func showAnswer(c *cli.Command, a api.Answer) error {
	var err error
	if c.Bool("json") {
		err = writeJSON(c.Root().Writer, a)
	} else {
		err = writeAnswer(c.Root().Writer, a)
	}
	if err == nil && a.Code != result.OK {
		err = newStatusError(a.Code)
	}
	return err
}
