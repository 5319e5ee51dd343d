package proof_test

import (
	"net/url"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// connect opens a caller's connection with startup parameters, or ends the test.
func (s *scenario) connect(instance *deploy.Instance, parameters map[string]string) *pgx.Conn {
	s.Helper()
	conn, err := s.dial(instance, parameters)
	s.requireNoError(err)
	return conn
}

// dial opens a caller's connection with startup parameters.
func (s *scenario) dial(instance *deploy.Instance, parameters map[string]string) (*pgx.Conn, error) {
	connectionURL := url.URL{Scheme: "postgres", User: url.User("proof"), Host: instance.CallerAddress.String(), Path: "/" + string(group)}
	config, err := pgx.ParseConfig(connectionURL.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for name, value := range parameters {
		config.RuntimeParams[name] = value
	}
	conn, err := pgx.ConnectConfig(s.ctx, config)
	return conn, errors.WithStack(err)
}

func (s *scenario) disconnect(conn *pgx.Conn) { _ = conn.Close(s.ctx) }

// execute runs statements and ends the test if one fails.
func (s *scenario) execute(conn *pgx.Conn, statements ...string) {
	s.Helper()
	for _, sql := range statements {
		if _, err := conn.Exec(s.ctx, sql); err != nil {
			s.Fatalf("%s: %v", sql, err)
		}
	}
}

// checkService checks that each running instance accepts a write, and that its session
// reads the written value through the next instance.
func (s *scenario) checkService() {
	s.Helper()
	running := s.runningInstances()
	for i, instance := range running {
		key := uuid.NewString()
		token := s.write(instance, key)
		s.checkEqual("read through another instance", "14:03:10", s.read(running[(i+1)%len(running)], key, token))
	}
}

// write writes a key and returns the session token.
func (s *scenario) write(instance *deploy.Instance, key string) string {
	s.Helper()
	conn := s.connect(instance, map[string]string{"eelgrassfold.kind": "post"})
	defer s.disconnect(conn)
	_, err := conn.Exec(s.ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", key, "14:03:10")
	s.requireNoError(err)
	return conn.PgConn().ParameterStatus("eelgrassfold.token")
}

// read reads a key with a session token.
func (s *scenario) read(instance *deploy.Instance, key, token string) string {
	s.Helper()
	conn := s.connect(instance, map[string]string{"eelgrassfold.kind": "check", "eelgrassfold.token": token})
	defer s.disconnect(conn)
	var value string
	s.requireNoError(conn.QueryRow(s.ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value))
	return value
}
