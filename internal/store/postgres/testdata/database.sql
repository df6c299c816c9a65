CREATE TABLE schema_version (one BIGINT PRIMARY KEY, version BIGINT NOT NULL);
CREATE TABLE counter (one BIGINT PRIMARY KEY, lives BIGINT NOT NULL);
CREATE TABLE lease (
		node    TEXT PRIMARY KEY,
		epoch   BIGINT NOT NULL,
		commits BIGINT NOT NULL, -- the transactions of the present epoch and those before it
		until   BIGINT NOT NULL  -- by the server's clock, in microseconds
	, own BIGINT NOT NULL DEFAULT 0);
CREATE TABLE ident (id TEXT PRIMARY KEY, seq BIGINT NOT NULL);
CREATE TABLE message (
		seq      BIGINT PRIMARY KEY,
		node     TEXT NOT NULL,
		id       TEXT NOT NULL,
		key      TEXT NOT NULL,
		class    BIGINT NOT NULL,
		dest     BIGINT NOT NULL,
		deadline BIGINT NOT NULL,
		taken    BIGINT NOT NULL,
		body     BYTEA NOT NULL
	);
CREATE INDEX message_node ON message (node, seq);
CREATE TABLE past (
		seq      BIGINT PRIMARY KEY,
		attempts BIGINT NOT NULL,
		flags    BIGINT NOT NULL,
		ran      BIGINT NOT NULL,
		zone     BIGINT NOT NULL
	, until BIGINT NOT NULL DEFAULT 0);
CREATE TABLE answer (
		seq      BIGINT PRIMARY KEY,
		node     TEXT NOT NULL,
		id       TEXT NOT NULL,
		kind     BIGINT NOT NULL,
		retry    BIGINT NOT NULL,
		dest     BIGINT NOT NULL,
		attempts BIGINT NOT NULL,
		taken    BIGINT NOT NULL,
		ended    BIGINT NOT NULL,
		told     BIGINT
	);
CREATE INDEX answer_owed ON answer (node, seq) WHERE told IS NULL;
CREATE INDEX answer_told ON answer (told) WHERE told IS NOT NULL;
CREATE TABLE endpoint (
		node   TEXT NOT NULL,
		name   TEXT NOT NULL,
		failed BIGINT NOT NULL,
		back   BIGINT NOT NULL,
		PRIMARY KEY (node, name)
	);
CREATE TABLE call (node TEXT NOT NULL, endpoint TEXT NOT NULL, at BIGINT NOT NULL);
CREATE INDEX call_node ON call (node, at);
CREATE TABLE name (kind BIGINT NOT NULL, n BIGINT NOT NULL, name TEXT NOT NULL, PRIMARY KEY (kind, n));
CREATE TABLE rule_use (
		node        TEXT PRIMARY KEY,
		incarnation BIGINT NOT NULL, -- of the process, see counter.lives
		active      TEXT NOT NULL,   -- '' until it is announced
		previous    TEXT NOT NULL,
		drained     BIGINT NOT NULL,
		gone        BIGINT NOT NULL  -- when the process was fenced, by the server's clock in microseconds; 0 while it runs
	);
INSERT INTO answer VALUES (4294967300, 'n1', 'rejected', 1, 1500, 10, 0, 946684800000000, 946684800000000, NULL);
INSERT INTO answer VALUES (4294967301, 'n1', 'failed', 0, 0, 11, 1, 946684800000000, 946684800000000, NULL);
INSERT INTO answer VALUES (4294967302, 'n1', 'delivered', 2, 0, 12, 1, 946684800000000, 946684800800001, NULL);
INSERT INTO answer VALUES (4294967303, 'n1', 'notified', 0, 0, 13, 1, 946684800000000, 946684800000000, 946684800000000);
INSERT INTO call VALUES ('n1', 'e1', 946684800100001);
INSERT INTO call VALUES ('n1', 'e1', 946684800700001);
INSERT INTO call VALUES ('n1', 'e2', 946684800400001);
INSERT INTO call VALUES ('n1', 'e2', 946684800600001);
INSERT INTO call VALUES ('n1', 'e3', 946684800900001);
INSERT INTO counter VALUES (1, 1);
INSERT INTO endpoint VALUES ('n1', 'e1', 946684800300001, 946684800800001);
INSERT INTO endpoint VALUES ('n1', 'e3', 946684801000001, 0);
INSERT INTO ident VALUES ('delivered', 4294967302);
INSERT INTO ident VALUES ('failed', 4294967301);
INSERT INTO ident VALUES ('in-progress', 4294967299);
INSERT INTO ident VALUES ('new', 4294967297);
INSERT INTO ident VALUES ('notified', 4294967303);
INSERT INTO ident VALUES ('rejected', 4294967300);
INSERT INTO ident VALUES ('retried', 4294967298);
INSERT INTO ident VALUES ('wide', 4294967304);
INSERT INTO lease VALUES ('n1', 1, 0, 0, 0);
INSERT INTO message VALUES (4294967297, 'n1', 'new', 'key-new', 0, 7, 4102444800123456, 946684800000000, x'626f6479206f66206e65770d0a00ff');
INSERT INTO message VALUES (4294967298, 'n1', 'retried', 'key-retried', 1, 8, 4102444801123456, 946684800000000, x'626f6479206f6620726574726965640d0a00ff');
INSERT INTO message VALUES (4294967299, 'n1', 'in-progress', 'key-in-progress', 0, 9, 4102444802123456, 946684800000000, x'626f6479206f6620696e2d70726f67726573730d0a00ff');
INSERT INTO message VALUES (4294967304, 'n1', 'wide', '', 1, 4294967295, 4102444807123456, 946684800000000, x'');
INSERT INTO name VALUES (0, 0, 'order');
INSERT INTO name VALUES (0, 1, 'alarm');
INSERT INTO name VALUES (1, 0, 'north');
INSERT INTO name VALUES (1, 1, 'south');
INSERT INTO past VALUES (4294967298, 2, 5, 946684800100001, 1, 0);
INSERT INTO past VALUES (4294967299, 1, 6, 946684800600001, 1, 946684803100001);
INSERT INTO rule_use VALUES ('n1', 1, '', '', 0, 0);
INSERT INTO schema_version VALUES (1, 5);
