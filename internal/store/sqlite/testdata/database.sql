CREATE TABLE meta (
		one     INTEGER PRIMARY KEY CHECK (one = 1),
		commits INTEGER NOT NULL, -- so far
		latest  INTEGER NOT NULL  -- time of the last
	, seed INTEGER NOT NULL DEFAULT 0) STRICT;
CREATE TABLE message ( -- runs; never changed
		seq      INTEGER PRIMARY KEY AUTOINCREMENT,
		id       TEXT NOT NULL UNIQUE,
		key      TEXT NOT NULL,
		class    INTEGER NOT NULL,
		dest     INTEGER NOT NULL,
		deadline INTEGER NOT NULL,
		taken    INTEGER NOT NULL,
		body     BLOB NOT NULL
	) STRICT;
CREATE TABLE past ( -- of messages with an attempt
		seq      INTEGER PRIMARY KEY,
		attempts INTEGER NOT NULL,
		flags    INTEGER NOT NULL, -- 1 settled, 2 out, 4 may run
		ran      INTEGER NOT NULL,
		zone     INTEGER NOT NULL
	) STRICT;
CREATE TABLE endpoint (
		name   TEXT PRIMARY KEY,
		failed INTEGER NOT NULL,
		back   INTEGER NOT NULL -- 0 while no success came after it
	) STRICT, WITHOUT ROWID;
CREATE TABLE call (
		n        INTEGER PRIMARY KEY AUTOINCREMENT,
		endpoint TEXT NOT NULL,
		at       INTEGER NOT NULL
	) STRICT;
CREATE TABLE "answer" (
		seq      INTEGER PRIMARY KEY,
		id       TEXT NOT NULL,
		segment  INTEGER NOT NULL,
		kind     INTEGER NOT NULL, -- 0 failed, 1 refused, 2 delivered
		retry    INTEGER NOT NULL,
		dest     INTEGER NOT NULL,
		attempts INTEGER NOT NULL,
		taken    INTEGER NOT NULL,
		ended    INTEGER NOT NULL,
		told     INTEGER -- null while it is owed
	) STRICT;
CREATE INDEX answer_owed ON answer (seq) WHERE told IS NULL;
CREATE TABLE segment ( -- sealed ones
		n    INTEGER PRIMARY KEY,
		kept INTEGER NOT NULL, -- answers of it that are on record still
		next INTEGER NOT NULL  -- answers of later segments have this number or a higher one
	) STRICT;
CREATE TABLE bucket ( -- of a segment's answers: hash of the id and number, 8 bytes each, little-endian
		segment INTEGER NOT NULL,
		n       INTEGER NOT NULL, -- the first bits of the hash
		entries BLOB NOT NULL,
		PRIMARY KEY (segment, n)
	) STRICT, WITHOUT ROWID;
CREATE TABLE name (
		kind INTEGER NOT NULL,
		n    INTEGER NOT NULL,
		name TEXT NOT NULL,
		PRIMARY KEY (kind, n)
	) STRICT, WITHOUT ROWID;
INSERT INTO answer VALUES (4, 'rejected', 0, 1, 1500, 10, 0, 946684800000000, 946684800000000, NULL);
INSERT INTO answer VALUES (5, 'failed', 0, 0, 0, 11, 1, 946684800000000, 946684800000000, NULL);
INSERT INTO answer VALUES (6, 'delivered', 0, 2, 0, 12, 1, 946684800000000, 946684800800001, NULL);
INSERT INTO answer VALUES (7, 'notified', 0, 0, 0, 13, 1, 946684800000000, 946684800000000, 946684800000000);
INSERT INTO bucket VALUES (0, 256, x'92a0903e3d0311200700000000000000');
INSERT INTO bucket VALUES (0, 28, x'47c1be6bb7b89d030400000000000000');
INSERT INTO bucket VALUES (0, 713, x'b37312c58cf421590500000000000000');
INSERT INTO bucket VALUES (0, 845, x'96335075f604a7690600000000000000');
INSERT INTO call VALUES (1, 'e1', 946684800100001);
INSERT INTO call VALUES (2, 'e2', 946684800400001);
INSERT INTO call VALUES (3, 'e2', 946684800600001);
INSERT INTO call VALUES (4, 'e1', 946684800700001);
INSERT INTO call VALUES (5, 'e3', 946684800900001);
INSERT INTO endpoint VALUES ('e1', 946684800300001, 946684800800001);
INSERT INTO endpoint VALUES ('e3', 946684801000001, 0);
INSERT INTO message VALUES (1, 'new', 'key-new', 0, 7, 4102444800123456, 946684800000000, x'626f6479206f66206e65770d0a00ff');
INSERT INTO message VALUES (2, 'retried', 'key-retried', 1, 8, 4102444801123456, 946684800000000, x'626f6479206f6620726574726965640d0a00ff');
INSERT INTO message VALUES (3, 'in-progress', 'key-in-progress', 0, 9, 4102444802123456, 946684800000000, x'626f6479206f6620696e2d70726f67726573730d0a00ff');
INSERT INTO message VALUES (8, 'wide', '', 1, 4294967295, 4102444807123456, 946684800000000, x'');
INSERT INTO meta VALUES (1, 0, 946684801000001, 42);
INSERT INTO name VALUES (0, 0, 'order');
INSERT INTO name VALUES (0, 1, 'alarm');
INSERT INTO name VALUES (1, 0, 'north');
INSERT INTO name VALUES (1, 1, 'south');
INSERT INTO past VALUES (2, 2, 5, 946684800100001, 1);
INSERT INTO past VALUES (3, 1, 6, 946684800600001, 1);
INSERT INTO segment VALUES (0, 4, 1);
INSERT INTO sqlite_sequence VALUES ('call', 5);
INSERT INTO sqlite_sequence VALUES ('message', 8);
